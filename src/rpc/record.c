#include "rpc/record.h"

#include <arpa/inet.h>
#include <string.h>

#include <rpc/rpc.h>

#define LAST_FRAGMENT 0x80000000u
#define MAC_SIZE 16
#define VERIFIER_SIZE (8 + MAC_SIZE)
#define VERIFIER_FLAVOR 0x48535031

/* Offsets of the verifier's body in a call and in a reply, as they follow from
   the message layouts of RFC 5531 with an empty credential. */
#define CALL_VERIFIER_OFFSET 40
#define REPLY_VERIFIER_OFFSET 20
#define HEADER_MAX (CALL_VERIFIER_OFFSET + VERIFIER_SIZE + 16)

static bool append_record (GByteArray *out,
                           HsRecordChannel *channel,
                           struct rpc_msg *msg,
                           size_t verifier_offset,
                           xdrproc_t codec,
                           const void *body);
static void compute_mac (HsRecordChannel *channel,
                         const uint8_t *record,
                         size_t n,
                         uint8_t mac[MAC_SIZE]);
static bool_t encode_nothing (XDR *xdrs, ...);
static bool parse_header (uint8_t *record, size_t n, HsRecordHeader *header);
static bool
parse_call_header (uint8_t *record, size_t n, HsRecordHeader *header);
static bool
parse_reply_header (uint8_t *record, size_t n, HsRecordHeader *header);

void
hs_record_set_key (HsRecordChannel *channel, const uint8_t key[HS_KEY_SIZE])
{
  hmac_sha256_set_key (&channel->hmac, HS_KEY_SIZE, key);
}

bool
hs_record_append_call (GByteArray *out,
                       HsRecordChannel *channel,
                       uint32_t xid,
                       uint32_t proc,
                       const void *args)
{
  struct rpc_msg msg = { 0 };
  char verifier[VERIFIER_SIZE] = { 0 };

  msg.rm_xid = xid;
  msg.rm_direction = CALL;
  msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  msg.rm_call.cb_prog = HSX_PROGRAM;
  msg.rm_call.cb_vers = HSX_V1;
  msg.rm_call.cb_proc = proc;
  msg.rm_call.cb_cred = _null_auth;
  msg.rm_call.cb_verf.oa_flavor = VERIFIER_FLAVOR;
  msg.rm_call.cb_verf.oa_base = verifier;
  msg.rm_call.cb_verf.oa_length = VERIFIER_SIZE;
  return append_record (out, channel, &msg, CALL_VERIFIER_OFFSET,
                        hs_proc (proc)->args, args);
}

bool
hs_record_append_reply (GByteArray *out,
                        HsRecordChannel *channel,
                        uint32_t xid,
                        uint32_t proc,
                        const void *result)
{
  struct rpc_msg msg = { 0 };
  char verifier[VERIFIER_SIZE] = { 0 };

  msg.rm_xid = xid;
  msg.rm_direction = REPLY;
  msg.rm_reply.rp_stat = MSG_ACCEPTED;
  msg.acpted_rply.ar_verf.oa_flavor = VERIFIER_FLAVOR;
  msg.acpted_rply.ar_verf.oa_base = verifier;
  msg.acpted_rply.ar_verf.oa_length = VERIFIER_SIZE;
  msg.acpted_rply.ar_stat = result != NULL ? SUCCESS : GARBAGE_ARGS;
  msg.acpted_rply.ar_results.proc = encode_nothing;
  return append_record (out, channel, &msg, REPLY_VERIFIER_OFFSET,
                        result != NULL ? hs_proc (proc)->result : NULL, result);
}

int
hs_record_length (const uint8_t *data, size_t n, size_t *length)
{
  uint32_t mark;

  if (n < HS_RECORD_MARK_SIZE)
    return 0;
  memcpy (&mark, data, sizeof mark);
  mark = ntohl (mark);
  if ((mark & LAST_FRAGMENT) == 0)
    return -1;
  *length = mark & ~LAST_FRAGMENT;
  if (*length > HS_RECORD_MAX_BYTES)
    return -1;
  return n >= HS_RECORD_MARK_SIZE + *length ? 1 : 0;
}

bool
hs_record_verify (uint8_t *record,
                  size_t n,
                  HsRecordChannel *channel,
                  HsRecordHeader *header)
{
  uint8_t received[MAC_SIZE];
  uint8_t mac[MAC_SIZE];
  uint64_t sequence;
  uint8_t *verifier;
  uint8_t differ = 0;
  size_t i;

  if (!parse_header (record, n, header))
    return false;
  verifier
      = record
        + (header->is_reply ? REPLY_VERIFIER_OFFSET : CALL_VERIFIER_OFFSET);
  memcpy (&sequence, verifier, sizeof sequence);
  if (GUINT64_FROM_BE (sequence) != channel->sequence)
    return false;
  memcpy (received, verifier + 8, MAC_SIZE);
  memset (verifier + 8, 0, MAC_SIZE);
  compute_mac (channel, record, n, mac);
  for (i = 0; i < MAC_SIZE; i++)
    differ |= received[i] ^ mac[i];
  if (differ != 0)
    return false;
  channel->sequence++;
  return true;
}

bool
hs_record_decode (const uint8_t *body, size_t n, xdrproc_t codec, void *out)
{
  XDR xdrs;
  bool ok;

  xdrmem_create (&xdrs, (char *) (uintptr_t) body, n, XDR_DECODE);
  ok = codec (&xdrs, out) && xdr_getpos (&xdrs) == n;
  xdr_destroy (&xdrs);
  if (!ok)
    xdr_free (codec, out);
  return ok;
}

void
hs_record_derive_key (const uint8_t *key,
                      size_t key_len,
                      const char *label,
                      const void *a,
                      size_t a_len,
                      const void *b,
                      size_t b_len,
                      uint8_t out[HS_KEY_SIZE])
{
  struct hmac_sha256_ctx hmac;

  hmac_sha256_set_key (&hmac, key_len, key);
  hmac_sha256_update (&hmac, strlen (label) + 1, (const uint8_t *) label);
  hmac_sha256_update (&hmac, a_len, a);
  hmac_sha256_update (&hmac, b_len, b);
  hmac_sha256_digest (&hmac, HS_KEY_SIZE, out);
}

static bool
append_record (GByteArray *out,
               HsRecordChannel *channel,
               struct rpc_msg *msg,
               size_t verifier_offset,
               xdrproc_t codec,
               const void *body)
{
  void *mutable_body = (void *) (uintptr_t) body;
  size_t body_size = codec != NULL ? xdr_sizeof (codec, mutable_body) : 0;
  guint start = out->len;
  uint64_t sequence = GUINT64_TO_BE (channel->sequence);
  uint32_t mark;
  uint8_t *record;
  size_t length;
  XDR xdrs;
  bool ok;

  if (body_size > HS_RECORD_MAX_BYTES - HEADER_MAX)
    return false;
  g_byte_array_set_size (out, start + HS_RECORD_MARK_SIZE + HEADER_MAX
                                  + (guint) body_size);
  record = out->data + start + HS_RECORD_MARK_SIZE;
  xdrmem_create (&xdrs, (char *) record, HEADER_MAX + body_size, XDR_ENCODE);
  ok = msg->rm_direction == CALL ? xdr_callmsg (&xdrs, msg)
                                 : xdr_replymsg (&xdrs, msg);
  ok = ok && (codec == NULL || codec (&xdrs, mutable_body));
  length = xdr_getpos (&xdrs);
  xdr_destroy (&xdrs);
  if (!ok)
    {
      g_byte_array_set_size (out, start);
      return false;
    }
  mark = htonl (LAST_FRAGMENT | (uint32_t) length);
  memcpy (out->data + start, &mark, sizeof mark);
  memcpy (record + verifier_offset, &sequence, sizeof sequence);
  compute_mac (channel, record, length, record + verifier_offset + 8);
  channel->sequence++;
  g_byte_array_set_size (out, start + HS_RECORD_MARK_SIZE + (guint) length);
  return true;
}

/* The bytes of the MAC itself must be zero in the record meanwhile. */
static void
compute_mac (HsRecordChannel *channel,
             const uint8_t *record,
             size_t n,
             uint8_t mac[MAC_SIZE])
{
  uint64_t number = GUINT64_TO_BE (channel->sequence);

  hmac_sha256_update (&channel->hmac, 1, &channel->direction);
  hmac_sha256_update (&channel->hmac, sizeof number, (const uint8_t *) &number);
  hmac_sha256_update (&channel->hmac, n, record);
  /* Also resets the context to its key. */
  hmac_sha256_digest (&channel->hmac, MAC_SIZE, mac);
}

/* Encodes no result in the reply header: append_record() encodes the body. */
static bool_t
encode_nothing (XDR *xdrs, ...)
{
  (void) xdrs;
  return TRUE;
}

static uint32_t
read_word (const uint8_t *record, size_t offset)
{
  uint32_t word;

  memcpy (&word, record + offset, sizeof word);
  return ntohl (word);
}

static bool
parse_header (uint8_t *record, size_t n, HsRecordHeader *header)
{
  memset (header, 0, sizeof *header);
  if (n < REPLY_VERIFIER_OFFSET + VERIFIER_SIZE + 4)
    return false;
  header->xid = read_word (record, 0);
  switch (read_word (record, 4))
    {
    case CALL:
      return parse_call_header (record, n, header);
    case REPLY:
      return parse_reply_header (record, n, header);
    default:
      return false;
    }
}

static bool
parse_call_header (uint8_t *record, size_t n, HsRecordHeader *header)
{
  if (n < CALL_VERIFIER_OFFSET + VERIFIER_SIZE)
    return false;
  if (read_word (record, 8) != RPC_MSG_VERSION
      || read_word (record, 12) != HSX_PROGRAM
      || read_word (record, 16) != HSX_V1)
    return false;
  if (read_word (record, 24) != AUTH_NONE || read_word (record, 28) != 0)
    return false;
  if (read_word (record, 32) != VERIFIER_FLAVOR
      || read_word (record, 36) != VERIFIER_SIZE)
    return false;
  header->proc = read_word (record, 20);
  if (hs_proc (header->proc) == NULL)
    return false;
  header->body_offset = CALL_VERIFIER_OFFSET + VERIFIER_SIZE;
  return true;
}

static bool
parse_reply_header (uint8_t *record, size_t n, HsRecordHeader *header)
{
  uint32_t stat;

  (void) n;
  if (read_word (record, 8) != MSG_ACCEPTED
      || read_word (record, 12) != VERIFIER_FLAVOR
      || read_word (record, 16) != VERIFIER_SIZE)
    return false;
  stat = read_word (record, REPLY_VERIFIER_OFFSET + VERIFIER_SIZE);
  if (stat != SUCCESS && stat != GARBAGE_ARGS)
    return false;
  header->is_reply = true;
  header->rejected = stat != SUCCESS;
  header->body_offset = REPLY_VERIFIER_OFFSET + VERIFIER_SIZE + 4;
  return true;
}
