/* Settings files rendered from the platform's template. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "platform/settings.h"

#define OWN_KEYS "\"cluster_key\": \"0123456789abcdef\", "
#define PLATFORM_KEYS                                                          \
  "\"node_name\":\"e1\",\"ip\":\"10.1.0.13\",\"zone\":\"z1\","                 \
  "\"seeds\":[\"10.1.0.13:8166\",\"10.2.0.30:8166\"],"                         \
  "\"listen_addrs\":{\"frontend_addr\":\"10.1.0.13:8161\","                    \
  "\"ready\":\"10.1.0.13:8167\",\"control\":\"10.1.0.13:8166\"},"              \
  "\"bounds\":{\"grace_s\":6.5,\"max_hold_ms\":900},"                          \
  "\"platform\":{\"address\":\"10.200.1.7:8169\"}"

static HsPlatformSettings *
parse (const char *text, GError **error)
{
  return hs_platform_settings_parse (NULL, "file", text, strlen (text), error);
}

static void
rendered_platform_settings_are_read (void **state)
{
  g_autoptr (GError) error = NULL;
  HsPlatformSettings *s
      = parse ("{ // keys\n" OWN_KEYS
               "\"metrics_port\":9100, \"platform\":{" PLATFORM_KEYS "}}",
               &error);

  (void) state;
  assert_non_null (s);
  assert_string_equal (s->host, "e1");
  assert_string_equal (s->data_centre, "z1");
  assert_string_equal (s->callers_listen, "10.1.0.13:8161");
  assert_string_equal (s->metrics_listen, "10.1.0.13:9100");
  assert_string_equal (s->seeds[1], "10.2.0.30:8166");
  assert_null (s->seeds[2]);
  assert_int_equal (s->grace, 6500 * HS_MSEC);
  assert_int_equal (s->max_lease, 900 * HS_MSEC);
  assert_int_equal (s->stop_timeout, 50 * HS_MSEC);
  assert_int_equal (s->memory_mb, 0);
  talloc_free (s);
}

static void
limits_of_the_host_are_read (void **state)
{
  HsPlatformSettings *s
      = parse ("{" OWN_KEYS "\"platform\":{" PLATFORM_KEYS
               ",\"limits\":{\"memory_mb\":120,\"max_fds\":3075}}}",
               NULL);

  (void) state;
  assert_non_null (s);
  assert_int_equal (s->memory_mb, 120);
  assert_int_equal (s->max_fds, 3075);
  talloc_free (s);
}

/* Guards against evacuations that are in use where the platform doesn't ask for
   them. */
static void
evacuation_is_in_use_only_with_its_bound (void **state)
{
  static const struct
  {
    const char *bounds;
    HsTime limit;
  } cases[] = {
    { "{}", 0 },
    { "{\"evacuate_ms\":0}", 0 },
    { "{\"evacuate_ms\":5000}", 5 * HS_SEC },
  };
  size_t i;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *text = g_strdup_printf (
          "{" OWN_KEYS "\"platform\":{\"node_name\":\"e1\",\"ip\":\"1.1.1.1\","
          "\"zone\":\"z\",\"listen_addrs\":{\"control\":\"1.1.1.1:1\"},"
          "\"platform\":{\"address\":\"1.1.1.1:2\"},\"bounds\":%s}}",
          cases[i].bounds);
      HsPlatformSettings *s = parse (text, &error);

      assert_non_null (s);
      assert_int_equal (s->evacuation_limit, cases[i].limit);
      talloc_free (s);
    }
}

static void
invalid_settings_are_rejected_with_the_key (void **state)
{
  static const struct
  {
    const char *text;
    const char *key;
  } cases[] = {
    { "", "file" },
    { "{" OWN_KEYS "\"platform\":3}", "platform" },
    { "{\"platform\":{" PLATFORM_KEYS "}}", "cluster_key" },
    { "{\"cluster_key\":\"short\",\"platform\":{" PLATFORM_KEYS "}}",
      "cluster_key" },
    { "{" OWN_KEYS "\"platform\":{\"ip\":\"x\"}}", "node_name" },
    { "{" OWN_KEYS "\"metrics_port\":70000,\"platform\":{" PLATFORM_KEYS "}}",
      "metrics_port" },
    { "{" OWN_KEYS "\"platform\":{" PLATFORM_KEYS
      ",\"limits\":{\"memory_mb\":\"x\"}}}",
      "memory_mb" },
    { "{" OWN_KEYS "\"platform\":{" PLATFORM_KEYS
      ",\"limits\":{\"max_fds\":200000000}}}",
      "max_fds" },
  };
  size_t i;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;

      assert_null (parse (cases[i].text, &error));
      assert_non_null (strstr (error->message, cases[i].key));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (rendered_platform_settings_are_read),
    cmocka_unit_test (evacuation_is_in_use_only_with_its_bound),
    cmocka_unit_test (limits_of_the_host_are_read),
    cmocka_unit_test (invalid_settings_are_rejected_with_the_key),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
