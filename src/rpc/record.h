/**
 * @file
 * One RPC record: ONC RPC message header (RFC 5531), message authentication
 * code and body, behind the record mark of the TCP transport. No sockets.
 *
 * The verifier of each message carries a sequence number and a truncated
 * HMAC-SHA256 over the direction, the number and the whole record, so that a
 * record can be neither forged, replayed nor reflected.
 */
#ifndef HS_RPC_RECORD_H
#define HS_RPC_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "proto/procs.h"

/** Largest record accepted or sent, in bytes, without its mark: an answer of
 *  390 tasks with the largest bodies, and headers. */
#define HS_RECORD_MAX_BYTES (112u << 20)

/** Bytes of the record mark. */
#define HS_RECORD_MARK_SIZE 4

#define HS_KEY_SIZE 32

/** One direction of a connection. */
typedef struct
{
  uint8_t key[HS_KEY_SIZE];
  uint8_t direction; /**< 'D' from the side that dialled, 'L' back. */
  uint64_t sequence; /**< Of the next record. */
} HsRecordChannel;

/** What a record is. */
typedef struct
{
  bool is_reply;
  bool rejected; /**< Reply only: the peer couldn't decode the call. */
  uint32_t xid;
  uint32_t proc;      /**< Call only. */
  size_t body_offset; /**< Offset of the body in the record. */
} HsRecordHeader;

/**
 * Appends a call with its mark to @p out.
 * @return false if the arguments break the protocol's bounds or the record
 *         would be too large; @p out is then as before
 */
bool hs_record_append_call (GByteArray *out,
                            HsRecordChannel *channel,
                            uint32_t xid,
                            uint32_t proc,
                            const void *args);

/** Appends a reply; @p result NULL says "arguments not understood". */
bool hs_record_append_reply (GByteArray *out,
                             HsRecordChannel *channel,
                             uint32_t xid,
                             uint32_t proc,
                             const void *result);

/**
 * Length of the record at the start of @p data, without mark.
 * @return 1 if it is there whole, 0 if more bytes are needed, -1 if the mark
 *         is not acceptable (too large, or in several fragments)
 */
int hs_record_length (const uint8_t *data, size_t n, size_t *length);

/**
 * Checks a whole record (without mark) and reads its head. The code in the
 * record is blanked in place while it is checked.
 * @return false if it is malformed, forged, replayed or out of order
 */
bool hs_record_verify (uint8_t *record,
                       size_t n,
                       HsRecordChannel *channel,
                       HsRecordHeader *header);

/**
 * Decodes a body into zeroed @p out.
 * @return false if malformed or longer than its struct; @p out needs
 *         xdr_free() only after true
 */
bool
hs_record_decode (const uint8_t *body, size_t n, xdrproc_t codec, void *out);

/** HMAC-SHA256 of @p label and up to two byte strings. */
void hs_record_derive_key (const uint8_t *key,
                           size_t key_len,
                           const char *label,
                           const void *a,
                           size_t a_len,
                           const void *b,
                           size_t b_len,
                           uint8_t out[HS_KEY_SIZE]);

#endif
