/**
 * @file
 * Fuzzers of the RPC records and bodies that other processes of the cluster
 * send.
 */
#include <string.h>

#include "fuzz.h"
#include "proto/procs.h"
#include "rpc/record.h"

/** Limit on the bytes that a decoder allocates: so many per byte of input, plus
 *  a base for arrays and bodies that are incomplete where the input ends. */
#define ALLOC_PER_BYTE 24
#define ALLOC_BASE ((size_t) 1024 * 1024)
#define TEST_XID 7

static void check_round_trip (xdrproc_t codec, size_t size, void *decoded);
static GByteArray *encode (xdrproc_t codec, void *value);
static void check_foreign_record (const uint8_t *data,
                                  size_t n,
                                  const HsRecordChannel *channel);
static void check_altered_record (const uint8_t *data, size_t n);

/** The first byte selects the procedure, its top bit the result. */
int
hs_fuzz_xdr (const uint8_t *data, size_t n)
{
  const HsProc *proc = n > 0 ? hs_proc (data[0] & 0x7f) : NULL;
  bool result = n > 0 && (data[0] & 0x80) != 0;
  xdrproc_t codec;
  size_t allocated;
  size_t size;
  void *out;
  bool ok;

  if (proc == NULL || (result && proc->result == NULL))
    return 0;
  codec = result ? proc->result : proc->args;
  size = result ? proc->result_size : proc->args_size;
  out = g_malloc0 (size);
  hs_fuzz_alloc_count_start ();
  ok = hs_record_decode (data + 1, n - 1, codec, out);
  allocated = hs_fuzz_alloc_count_stop ();
  HS_FUZZ_REQUIRE (allocated <= ALLOC_PER_BYTE * n + ALLOC_BASE);
  if (ok)
    {
      check_round_trip (codec, size, out);
      xdr_free (codec, out);
    }
  g_free (out);
  return 0;
}

static HsRecordChannel
make_channel (uint8_t direction, uint64_t sequence)
{
  static const uint8_t key[HS_KEY_SIZE] = { 1, 2, 3 };
  HsRecordChannel channel = { .direction = direction, .sequence = sequence };

  hs_record_set_key (&channel, key);
  return channel;
}

/** Tests the input as received data, and valid records altered by it. */
int
hs_fuzz_record (const uint8_t *data, size_t n)
{
  HsRecordChannel channel = make_channel ('D', 0);

  check_foreign_record (data, n, &channel);
  check_altered_record (data, n);
  return 0;
}

/** Checks that a decoded value is the same after it is encoded and decoded. */
static void
check_round_trip (xdrproc_t codec, size_t size, void *decoded)
{
  GByteArray *first = encode (codec, decoded);
  void *decoded_again = g_malloc0 (size);
  GByteArray *second;

  HS_FUZZ_REQUIRE (
      hs_record_decode (first->data, first->len, codec, decoded_again));
  second = encode (codec, decoded_again);
  HS_FUZZ_REQUIRE (first->len == second->len);
  HS_FUZZ_REQUIRE (first->len == 0
                   || memcmp (first->data, second->data, first->len) == 0);
  xdr_free (codec, decoded_again);
  g_free (decoded_again);
  g_byte_array_unref (first);
  g_byte_array_unref (second);
}

static GByteArray *
encode (xdrproc_t codec, void *value)
{
  GByteArray *bytes = g_byte_array_new ();
  XDR xdrs;

  g_byte_array_set_size (bytes, (guint) xdr_sizeof (codec, value));
  xdrmem_create (&xdrs, (char *) bytes->data, bytes->len, XDR_ENCODE);
  HS_FUZZ_REQUIRE (codec (&xdrs, value));
  HS_FUZZ_REQUIRE (xdr_getpos (&xdrs) == bytes->len);
  xdr_destroy (&xdrs);
  return bytes;
}

/** Checks that a record made without the key is rejected. */
static void
check_foreign_record (const uint8_t *data,
                      size_t n,
                      const HsRecordChannel *channel)
{
  HsRecordChannel copy = *channel;
  g_autofree uint8_t *record = g_memdup2 (data, n);
  HsRecordHeader header;
  size_t length = 0;
  int length_status = hs_record_length (data, n, &length);

  HS_FUZZ_REQUIRE (length_status >= -1 && length_status <= 1);
  if (length_status == 1)
    {
      HS_FUZZ_REQUIRE (length + HS_RECORD_MARK_SIZE <= n);
      HS_FUZZ_REQUIRE (!hs_record_verify (record + HS_RECORD_MARK_SIZE, length,
                                          &copy, &header));
    }
  HS_FUZZ_REQUIRE (!hs_record_verify (record, n, &copy, &header));
  HS_FUZZ_REQUIRE (copy.sequence == channel->sequence);
}

/** Checks that a record is rejected if one byte is altered, if it is replayed
 *  or truncated, or if it comes from the other direction. */
static void
check_altered_record (const uint8_t *data, size_t n)
{
  HsRecordChannel out = make_channel ('D', n);
  HsRecordChannel in = out;
  HsRecordChannel other = make_channel ('L', n);
  hsx_hello hello = { 0 };
  GByteArray *bytes = g_byte_array_new ();
  g_autofree uint8_t *copy = NULL;
  HsRecordHeader header;
  hsx_hello got = { 0 };
  size_t length;
  size_t at;

  hello.address = g_strndup ((const char *) data, MIN (n, HSX_ADDRESS_MAX));
  hello.data_centre = (char *) "a";
  HS_FUZZ_REQUIRE (
      hs_record_append_call (bytes, &out, TEST_XID, HSX_HELLO, &hello));
  HS_FUZZ_REQUIRE (hs_record_length (bytes->data, bytes->len, &length) == 1);
  copy = g_memdup2 (bytes->data + HS_RECORD_MARK_SIZE, length);
  if (n >= 3 && data[2] != 0)
    {
      at = (data[0] * 256u + data[1]) % length;
      copy[at] ^= data[2];
      HS_FUZZ_REQUIRE (!hs_record_verify (copy, length, &in, &header));
    }
  memcpy (copy, bytes->data + HS_RECORD_MARK_SIZE, length);
  HS_FUZZ_REQUIRE (!hs_record_verify (copy, length, &other, &header));
  memcpy (copy, bytes->data + HS_RECORD_MARK_SIZE, length);
  HS_FUZZ_REQUIRE (!hs_record_verify (copy, length - 1, &in, &header));
  memcpy (copy, bytes->data + HS_RECORD_MARK_SIZE, length);
  HS_FUZZ_REQUIRE (hs_record_verify (copy, length, &in, &header));
  HS_FUZZ_REQUIRE (!header.is_reply && header.xid == TEST_XID
                   && header.proc == HSX_HELLO);
  HS_FUZZ_REQUIRE (hs_record_decode (copy + header.body_offset,
                                     length - header.body_offset,
                                     (xdrproc_t) xdr_hsx_hello, &got));
  HS_FUZZ_REQUIRE (strcmp (got.address, hello.address) == 0);
  xdr_free ((xdrproc_t) xdr_hsx_hello, (char *) &got);
  memcpy (copy, bytes->data + HS_RECORD_MARK_SIZE, length);
  HS_FUZZ_REQUIRE (!hs_record_verify (copy, length, &in, &header));
  g_byte_array_unref (bytes);
  g_free (hello.address);
}
