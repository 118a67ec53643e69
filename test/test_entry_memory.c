#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "config/entry_memory.h"

#define MB ((size_t) 1024 * 1024)
#define MANY_FDS 1048576

/* As an entry's settings are without optional keys. */
static HsEntrySettings
default_settings (void)
{
  return (HsEntrySettings){ .threads = 2,
                            .max_connections = 4096,
                            .max_body = 8 * MB,
                            .kept_bytes = 256 * MB };
}

static size_t
total_bytes (const HsEntrySettings *settings)
{
  return settings->threads * hs_entry_memory_divide (settings, MANY_FDS).bytes;
}

static void
defaults_admit_all_connections (void **state)
{
  HsEntrySettings settings = default_settings ();

  (void) state;
  assert_int_equal (hs_entry_memory_divide (&settings, MANY_FDS).connections,
                    2048);
  assert_true (hs_entry_memory_min_mb (&settings)
               <= HS_ENTRY_MEMORY_MB_DEFAULT);
}

/* Settings without memory_mb are never refused, so that it has to grow with
   what they ask for. */
static void
default_memory_grows_with_bodies_and_threads (void **state)
{
  HsEntrySettings settings = default_settings ();

  (void) state;
  settings.max_body = 256 * MB;
  settings.threads = 64;
  assert_true (hs_entry_memory_min_mb (&settings) > HS_ENTRY_MEMORY_MB_DEFAULT);
  assert_true (hs_entry_memory_divide (&settings, MANY_FDS).bytes
               >= 2 * (size_t) settings.max_body);
}

static void
largest_body_fits_into_the_smallest_memory (void **state)
{
  HsEntrySettings settings = default_settings ();
  HsEntryThreadLimits limits;

  (void) state;
  settings.memory_mb = hs_entry_memory_min_mb (&settings);
  limits = hs_entry_memory_divide (&settings, MANY_FDS);
  assert_true (limits.bytes >= 2 * (size_t) settings.max_body);
  assert_true (hs_entry_memory_job_bytes (&settings)
               >= 2 * (size_t) settings.max_body);
  assert_true (total_bytes (&settings) + settings.kept_bytes
                   + 2 * hs_entry_memory_job_bytes (&settings)
               < settings.memory_mb * MB);
}

static void
memory_for_finished_jobs_is_left_to_them (void **state)
{
  HsEntrySettings settings = default_settings ();
  size_t before = total_bytes (&settings);

  (void) state;
  settings.kept_bytes += 256 * MB;
  assert_in_range (before - total_bytes (&settings), 128 * MB - 2, 128 * MB);
}

static void
descriptors_limit_connections (void **state)
{
  HsEntrySettings settings = default_settings ();

  (void) state;
  assert_int_equal (hs_entry_memory_divide (&settings, 1024).connections, 212);
  settings.max_fds = 1000;
  assert_int_equal (hs_entry_memory_divide (&settings, MANY_FDS).connections,
                    200);
  settings.max_fds = 100;
  assert_int_equal (hs_entry_memory_divide (&settings, MANY_FDS).connections,
                    16);
  settings.max_connections = 2;
  assert_int_equal (hs_entry_memory_divide (&settings, MANY_FDS).connections,
                    1);
}

/* A plan with 1,000 waiting tasks of the largest size. */
static void
default_memory_holds_a_full_queue (void **state)
{
  HsEntrySettings settings = default_settings ();

  (void) state;
  assert_true (hs_entry_memory_job_bytes (&settings) / 8 * 7
               >= (size_t) 1000 * 262144);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (defaults_admit_all_connections),
    cmocka_unit_test (default_memory_grows_with_bodies_and_threads),
    cmocka_unit_test (largest_body_fits_into_the_smallest_memory),
    cmocka_unit_test (memory_for_finished_jobs_is_left_to_them),
    cmocka_unit_test (descriptors_limit_connections),
    cmocka_unit_test (default_memory_holds_a_full_queue),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
