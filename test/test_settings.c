#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "config/settings.h"

#define ENTRY_WITH(extra)                                                      \
  "{\"role\":\"entry\",\"data_centre\":\"a\",\n"                               \
  "\"cluster_key\":\"0123456789abcdef\",\n"                                    \
  "\"entry\":{\"name\":\"e1\",\"http_listen\":\"127.0.0.1:0\",\n"              \
  "\"admin_listen\":\"[::1]:9001\",\"rpc_listen\":\"127.0.0.1:7000\",\n"       \
  "\"admin_token\":\"0123456789abcdef\",\n"                                    \
  "\"store\":[\"http://127.0.0.1:2379\"]" extra "}}"

#define AGENT_WITH(listen, extra)                                              \
  "{\"role\":\"agent\",\"data_centre\":\"a\",\n"                               \
  "\"cluster_key\":\"0123456789abcdef\",\n"                                    \
  "\"agent\":{\"name\":\"a1\",\"target_listen\":\"127.0.0.1:0\",\n"            \
  "\"rpc_listen\":\"" listen "\",\n"                                           \
  "\"entries\":[\"127.0.0.1:7000\"]" extra "}}"

static void
expect_error (const char *text, const char *message)
{
  g_autoptr (GError) error = NULL;

  assert_null (hs_settings_parse (NULL, "f", text, &error));
  if (strstr (error->message, message) == NULL)
    fail_msg ("expected: %s\ngot: %s", message, error->message);
}

static HsSettings *
expect_settings (const char *text)
{
  g_autoptr (GError) error = NULL;
  HsSettings *settings = hs_settings_parse (NULL, "f", text, &error);

  if (settings == NULL)
    fail_msg ("%s", error->message);
  return settings;
}

static void
defaults_are_filled_in (void **state)
{
  HsSettings *settings = expect_settings (ENTRY_WITH (""));
  HsEntrySettings *entry = &settings->u.entry;

  (void) state;
  assert_int_equal (settings->role, HS_ROLE_ENTRY);
  assert_int_equal (settings->log_level, G_LOG_LEVEL_INFO);
  assert_int_equal (entry->threads, 2);
  assert_int_equal (entry->partitions, 256);
  assert_int_equal (entry->lease, 6 * HS_SEC);
  assert_int_equal (entry->retention, 600 * HS_SEC);
  assert_int_equal (entry->max_id_ahead, HS_SEC);
  assert_int_equal (entry->max_clock_skew, 250 * HS_MSEC);
  assert_int_equal (entry->task_timeout, 60 * HS_SEC);
  assert_int_equal (entry->max_connections, 4096);
  assert_int_equal (entry->max_body, 8 * 1024 * 1024);
  assert_int_equal (entry->claims_per_s, 20);
  assert_int_equal (entry->kept_bytes, 256 * 1024 * 1024);
  assert_int_equal (entry->memory_mb, 0);
  assert_int_equal (entry->max_fds, 0);
  assert_string_equal (entry->rpc_address, "127.0.0.1:7000");
  assert_string_equal (entry->store[0], "http://127.0.0.1:2379");
  assert_null (entry->store[1]);
  talloc_free (settings);

  settings = expect_settings (AGENT_WITH ("127.0.0.1:0", ""));
  assert_int_equal (settings->u.agent.retention, 600 * HS_SEC);
  assert_int_equal (settings->u.agent.memory_bytes, 16 * 1024 * 1024);
  assert_string_equal (settings->u.agent.rack, "");
  talloc_free (settings);
}

static void
given_values_override_defaults (void **state)
{
  HsSettings *settings = expect_settings (
      "// comment\n" ENTRY_WITH (",\"lease_ms\":2000,\"partitions\":64"));

  (void) state;
  assert_int_equal (settings->u.entry.lease, 2 * HS_SEC);
  assert_int_equal (settings->u.entry.partitions, 64);
  talloc_free (settings);
}

static void
errors_name_file_line_key_and_remedy (void **state)
{
  (void) state;
  expect_error (ENTRY_WITH (",\n\"lease_ms\":1"),
                "f:7: entry.lease_ms: 1 is out of range; use 2000 to 60000");
  expect_error (ENTRY_WITH (",\n\"kept_bytes\":1000"),
                "f:7: entry.kept_bytes: 1000 is out of range; "
                "use 1048576 to 68719476736");
  expect_error (ENTRY_WITH (",\n\"lease_ms\":2500"),
                "f:7: entry.lease_ms: is not a whole number of seconds");
  expect_error (ENTRY_WITH (",\n\"partitions\":100"),
                "f:7: entry.partitions: is not a power of two");
  expect_error (ENTRY_WITH (",\n\"leese_ms\":2000"),
                "f:7: entry.leese_ms: unknown key; remove it");
  expect_error (ENTRY_WITH (",\n\"name\":\"e2\""),
                "f:7: name: the key is repeated; keep one");
  expect_error (ENTRY_WITH (",\n\"threads\":\"2\""),
                "f:7: entry.threads: must be a whole number");
  expect_error (ENTRY_WITH (",\n\"rpc_address\":\"host:1\""),
                "f:7: entry.rpc_address: \"host:1\" can't be used; write the");
  expect_error (ENTRY_WITH (",\n\"retention_ms\":1000"),
                "f:7: entry.retention_ms: is not longer than ahead_ms");
  expect_error (ENTRY_WITH (",\n\"max_body\":1e9"), "must be a whole number");
  expect_error (ENTRY_WITH (",\n\"memory_mb\":160"),
                "f:7: entry.memory_mb: is too low for kept_bytes, max_body and "
                "threads; raise it to 509 or more, or lower these");
  expect_error (AGENT_WITH ("0.0.0.0:7001", ""),
                "f:3: agent.rpc_address: is needed");
  expect_error (AGENT_WITH ("127.0.0.1", ""),
                "f:4: agent.rpc_listen: \"127.0.0.1\" can't be used; write an");
  expect_error ("{\"role\":\"entry\",\n\"data_centre\":\"a\","
                "\"cluster_key\":\"short\"}",
                "f:2: cluster_key: is 5 bytes long; give at least 16");
  expect_error ("{\"role\":\"entry\"}",
                "f:1: data_centre: the key is missing; add it");
  expect_error ("[]", "f:1: must be an object");
}

static void
an_unreadable_file_is_an_io_error (void **state)
{
  g_autoptr (GError) error = NULL;

  (void) state;
  assert_null (hs_settings_load (NULL, "absent/settings.conf", &error));
  assert_true (g_error_matches (error, HS_ERROR, HS_ERROR_IO));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (defaults_are_filled_in),
    cmocka_unit_test (given_values_override_defaults),
    cmocka_unit_test (errors_name_file_line_key_and_remedy),
    cmocka_unit_test (an_unreadable_file_is_an_io_error),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
