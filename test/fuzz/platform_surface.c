/**
 * @file
 * Fuzzer of the data that comes from the users' platform: jobs, announcements,
 * lists of runs, responses of the store, the configuration and settings.
 */
#include <string.h>

#include "fuzz.h"
#include "platform/announcement_server.h"
#include "platform/configuration.h"
#include "platform/caller_job.h"
#include "platform/json.h"
#include "platform/settings.h"
#include "platform/store_wire.h"
#include "platform/target_wire.h"

static void
check_job (const char *text, size_t n)
{
  struct json_object *root = hs_json_parse_value (text, n);
  GString *reduced = g_string_new (NULL);
  HsCallerJob job;

  /* Accepts nothing that the parser doesn't. */
  if (hs_json_reduce (text, n, HS_CALLER_JOB_FIELDS, reduced))
    {
      struct json_object *value
          = hs_json_parse_value (reduced->str, reduced->len);

      HS_FUZZ_REQUIRE ((root != NULL) == (value != NULL));
      json_object_put (value);
    }
  g_string_free (reduced, TRUE);
  if (hs_caller_job_decode (root, &job) == NULL)
    HS_FUZZ_REQUIRE (job.spec != NULL && job.n_tasks >= 1
                     && job.n_tasks <= HSX_TASKS_MAX && job.estimate >= 0);
  json_object_put (root);
}

static void
check_announcement (const char *text, size_t n)
{
  HsAnnouncement announcement;

  if (hs_announcement_decode ("i-1", text, n, &announcement) == NULL)
    HS_FUZZ_REQUIRE (announcement.service[0] != '\0'
                     && announcement.address[0] != '\0'
                     && announcement.started_ms >= 0);
}

static void
check_list (TALLOC_CTX *ctx, const char *text, size_t n)
{
  HsTargetList list;
  size_t i;

  if (!hs_target_decode_list (ctx, text, n, &list))
    return;
  HS_FUZZ_REQUIRE (list.clock_ms >= 0 && list.started_ms >= 0);
  for (i = 0; i < list.n_running; i++)
    HS_FUZZ_REQUIRE (list.running[i].key.job[0] != '\0');
  for (i = 0; i < list.n_ends; i++)
    HS_FUZZ_REQUIRE (list.ends[i].how >= HSX_END_DONE
                     && list.ends[i].how <= HSX_END_LAPSED);
}

static void
check_store (TALLOC_CTX *ctx, int kind, const char *text, size_t n)
{
  HsStoreReply reply = { 0 };
  HsStoreWatchResponse line = { 0 };
  size_t i;

  if (hs_store_platform_decode_reply (ctx, (HsStoreCallKind) (kind % 5), 200,
                                      text, n, &reply)
      == HS_STORE_OK)
    for (i = 0; i < reply.n_kvs; i++)
      HS_FUZZ_REQUIRE (reply.kvs[i].key != NULL && reply.kvs[i].value != NULL);
  if (hs_store_platform_decode_events (ctx, 200, text, n, &line))
    HS_FUZZ_REQUIRE (line.revision > 0);
}

static void
check_configuration (TALLOC_CTX *ctx, const char *text, size_t n)
{
  uint32_t n_invalid;
  HsRoutes *routes = hs_configuration_decode (ctx, text, n, &n_invalid);

  if (routes != NULL)
    hs_routes_find (routes, "h.example", "/q/1");
}

static void
check_settings (TALLOC_CTX *ctx, const char *text, size_t n)
{
  g_autoptr (GError) error = NULL;
  HsPlatformSettings *settings
      = hs_platform_settings_parse (ctx, "file", text, n, &error);

  if (settings == NULL)
    hs_fuzz_require_error (error);
  else
    HS_FUZZ_REQUIRE (settings->host != NULL && settings->store_address != NULL);
}

/** The first byte selects the kind of data. */
int
hs_fuzz_platform (const uint8_t *data, size_t n)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  const char *text = (const char *) data + 1;
  HsRunKey key;
  char *name;

  if (n > 1)
    switch (data[0] % 7)
      {
      case 0:
        check_job (text, n - 1);
        break;
      case 1:
        check_announcement (text, n - 1);
        break;
      case 2:
        check_list (ctx, text, n - 1);
        break;
      case 3:
        check_store (ctx, data[0] / 7, text, n - 1);
        break;
      case 4:
        check_configuration (ctx, text, n - 1);
        break;
      case 5:
        check_settings (ctx, text, n - 1);
        break;
      default:
        name = talloc_strndup (ctx, text, n - 1);
        hs_task_name_parse (name, &key);
        hs_target_decode_result (409, text, n - 1);
        break;
      }
  talloc_free (ctx);
  return 0;
}
