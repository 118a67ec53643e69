/**
 * @file
 * Encoding and decoding of RPC records: the record mark of the TCP transport,
 * followed by the ONC RPC message header (RFC 5531), which carries a message
 * authentication code (MAC), and the body. Does no input or output.
 *
 * The verifier of each message carries a sequence number and a truncated
 * HMAC-SHA256 over the direction, the sequence number and the whole record, so
 * that a record can't be forged, replayed or reflected.
 */
#ifndef HS_RPC_RECORD_H
#define HS_RPC_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <nettle/hmac.h>

#include "proto/procs.h"

/** Maximum size of a record without its mark: a reply to FORWARD for
 *  HSX_TASKS_MAX (390) tasks with bodies of HSX_BODY_MAX, and headers. */
#define HS_RECORD_MAX_BYTES (112u << 20)

/** Size of the record mark in bytes. */
#define HS_RECORD_MARK_SIZE 4

#define HS_KEY_SIZE 32

/** Authentication state of one direction of a connection. */
typedef struct
{
  struct hmac_sha256_ctx hmac; /**< Keyed by hs_record_set_key(). */
  uint8_t direction; /**< 'D': sent by the dialling side; 'L': by the other. */
  uint64_t sequence; /**< Sequence number of the next record. */
} HsRecordChannel;

/** The decoded header of a record. */
typedef struct
{
  bool is_reply;
  bool rejected; /**< Reply only: the peer couldn't decode the call. */
  uint32_t xid;
  uint32_t proc;      /**< Call only. */
  size_t body_offset; /**< Offset of the body in the record. */
} HsRecordHeader;

/** Sets the key under which the records of a channel are authenticated. */
void hs_record_set_key (HsRecordChannel *channel,
                        const uint8_t key[HS_KEY_SIZE]);

/**
 * Appends a call with its mark to @p out.
 * @return false if the arguments exceed the limits of the protocol or the
 *         record would be too large; @p out is unchanged then
 */
bool hs_record_append_call (GByteArray *out,
                            HsRecordChannel *channel,
                            uint32_t xid,
                            uint32_t proc,
                            const void *args);

/** Appends a reply; a NULL @p result means that the arguments couldn't be
 *  decoded. Returns as hs_record_append_call(). */
bool hs_record_append_reply (GByteArray *out,
                             HsRecordChannel *channel,
                             uint32_t xid,
                             uint32_t proc,
                             const void *result);

/**
 * Reads the mark of the record at the start of @p data.
 * @param length set to the length of the record without its mark, once the
 *               whole mark is present
 * @return 1 if the record is complete, 0 if more bytes are needed, -1 if the
 *         mark is invalid (too large, or not the last fragment)
 */
int hs_record_length (const uint8_t *data, size_t n, size_t *length);

/**
 * Verifies the MAC of a complete record (without its mark) and decodes its
 * header. The MAC in @p record is overwritten with zeros.
 * @return false if the record is malformed, forged, replayed or out of order
 */
bool hs_record_verify (uint8_t *record,
                       size_t n,
                       HsRecordChannel *channel,
                       HsRecordHeader *header);

/**
 * Decodes a body into @p out, which must be zeroed.
 * @return false if it is malformed or has bytes left over; @p out needs
 *         xdr_free() only if true is returned
 */
bool
hs_record_decode (const uint8_t *body, size_t n, xdrproc_t codec, void *out);

/** Derives a key: the HMAC-SHA256 under @p key of @p label, with its NUL, and
 *  up to two byte strings. */
void hs_record_derive_key (const uint8_t *key,
                           size_t key_len,
                           const char *label,
                           const void *a,
                           size_t a_len,
                           const void *b,
                           size_t b_len,
                           uint8_t out[HS_KEY_SIZE]);

#endif
