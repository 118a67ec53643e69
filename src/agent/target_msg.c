#include "agent/target_msg.h"

#include <string.h>

#include "agent/slots.h"
#include "base/address.h"
#include "base/error.h"
#include "config/json_check.h"
#include "config/json_fields.h"

#define TTL_MIN_MS 100
#define TTL_MAX_MS 60000
#define ADDRESS_MIN_LEN 9
#define MEMORY_MAX_MB INT32_MAX
#define ACCELERATORS_MAX 1024

/* The keys of the JSON announcement. */
typedef struct
{
  char *address;
  uint32_t slots;
  uint32_t memory_mb;
  uint32_t accelerators;
  HsTime ttl;
} Fields;

static bool is_address (const char *text);

static const HsField FIELDS[] = {
  { "address", HS_FIELD_STRING, true, ADDRESS_MIN_LEN, HSX_ADDRESS_MAX,
    offsetof (Fields, address), is_address,
    "use an IP address and a port, such as 127.0.0.1:9000" },
  { "slots", HS_FIELD_UINT32, true, 1, HS_SLOTS_MAX, offsetof (Fields, slots),
    NULL, NULL },
  { "memory_mb", HS_FIELD_UINT32, false, 0, MEMORY_MAX_MB,
    offsetof (Fields, memory_mb), NULL, NULL },
  { "accelerators", HS_FIELD_UINT32, false, 0, ACCELERATORS_MAX,
    offsetof (Fields, accelerators), NULL, NULL },
  { "ttl_ms", HS_FIELD_MSEC, true, TTL_MIN_MS, TTL_MAX_MS,
    offsetof (Fields, ttl), NULL, NULL },
};

void
hs_target_sign (const char *key,
                const char *method,
                const char *path,
                const char *body,
                size_t body_len,
                char out[HS_TARGET_SIGNATURE_SIZE])
{
  GHmac *hmac
      = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *) key, strlen (key));

  g_hmac_update (hmac, (const guchar *) method, (gssize) strlen (method));
  g_hmac_update (hmac, (const guchar *) "\n", 1);
  g_hmac_update (hmac, (const guchar *) path, (gssize) strlen (path));
  g_hmac_update (hmac, (const guchar *) "\n", 1);
  if (body_len > 0)
    g_hmac_update (hmac, (const guchar *) body, (gssize) body_len);
  g_strlcpy (out, g_hmac_get_string (hmac), HS_TARGET_SIGNATURE_SIZE);
  g_hmac_unref (hmac);
}

bool
hs_target_signature_matches (const char *signature,
                             const char expected[HS_TARGET_SIGNATURE_SIZE])
{
  unsigned char difference = 0;
  size_t i;

  if (signature == NULL || strlen (signature) != HS_TARGET_SIGNATURE_SIZE - 1)
    return false;
  for (i = 0; i < HS_TARGET_SIGNATURE_SIZE - 1; i++)
    difference |= (unsigned char) (signature[i] ^ expected[i]);
  return difference == 0;
}

bool
hs_target_announcement_parse (const char *body,
                              size_t len,
                              HsTargetAnnouncement *out,
                              GError **error)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  HsFieldContext place = { .prefix = "" };
  Fields fields = { 0 };
  HsJsonDoc *doc;
  bool ok = false;

  doc = hs_json_parse (ctx, len > 0 ? body : "", len, HS_JSON_PLAIN, NULL,
                       error);
  if (doc != NULL)
    ok = hs_fields_read (ctx, doc->root, FIELDS, G_N_ELEMENTS (FIELDS), &fields,
                         &place, error);
  if (ok)
    {
      memset (out, 0, sizeof *out);
      g_strlcpy (out->address, fields.address, sizeof out->address);
      out->slots = fields.slots;
      out->capacity.memory_mb = fields.memory_mb;
      out->capacity.accelerators = fields.accelerators;
      out->ttl = fields.ttl;
    }
  talloc_free (ctx);
  return ok;
}

static bool
is_address (const char *text)
{
  struct sockaddr_storage address;
  socklen_t len;

  return hs_address_parse (text, &address, &len)
         && hs_address_port (&address) != 0 && !hs_address_is_any (&address);
}
