/* How far an agent trusts its target. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/trust.h"

#define T0 (100 * HS_SEC)

static HsTrust trust;

static int
setup (void **state)
{
  (void) state;
  memset (&trust, 0, sizeof trust);
  return 0;
}

static void
bad_ends_of_different_jobs_in_a_row_suspend (void **state)
{
  (void) state;
  hs_trust_end (&trust, HSX_END_FAILED, "a", T0);
  hs_trust_end (&trust, HSX_END_STALLED, "b", T0);
  assert_int_equal (hs_trust_level (&trust, T0), HS_TRUST_FULL);
  hs_trust_end (&trust, HSX_END_FAILED, "c", T0);
  assert_int_equal (hs_trust_level (&trust, T0), HS_TRUST_NONE);
  assert_int_equal (hs_trust_level (&trust, hs_trust_due (&trust, T0)),
                    HS_TRUST_TRIAL);
}

static void
a_job_that_fails_many_times_counts_once (void **state)
{
  int i;

  (void) state;
  for (i = 0; i < 20; i++)
    hs_trust_end (&trust, HSX_END_FAILED, "poison", T0);
  assert_int_equal (hs_trust_level (&trust, T0), HS_TRUST_FULL);
}

static void
a_good_end_in_between_begins_anew (void **state)
{
  (void) state;
  hs_trust_end (&trust, HSX_END_FAILED, "a", T0);
  hs_trust_end (&trust, HSX_END_FAILED, "b", T0);
  hs_trust_end (&trust, HSX_END_DONE, "c", T0);
  hs_trust_end (&trust, HSX_END_FAILED, "d", T0);
  assert_int_equal (hs_trust_level (&trust, T0), HS_TRUST_FULL);
}

static void
ends_that_are_nobodys_fault_say_nothing (void **state)
{
  static const char *const jobs[] = { "a", "b", "c", "d" };
  int i;

  (void) state;
  for (i = 0; i < 4; i++)
    {
      hs_trust_end (&trust, HSX_END_STOPPED, jobs[i], T0);
      hs_trust_end (&trust, HSX_END_LAPSED, jobs[i], T0);
      hs_trust_end (&trust, HSX_END_REFUSED, jobs[i], T0);
    }
  assert_int_equal (hs_trust_level (&trust, T0), HS_TRUST_FULL);
}

static void
a_trial_that_fails_suspends_for_longer_one_that_succeeds_ends_it (void **state)
{
  HsTime first;
  HsTime at;

  (void) state;
  hs_trust_end (&trust, HSX_END_FAILED, "a", T0);
  hs_trust_end (&trust, HSX_END_FAILED, "b", T0);
  hs_trust_end (&trust, HSX_END_FAILED, "c", T0);
  first = hs_trust_due (&trust, T0) - T0;
  /* Started before the suspension. */
  hs_trust_end (&trust, HSX_END_DONE, "d", T0 + 1);
  assert_int_equal (hs_trust_level (&trust, T0 + 1), HS_TRUST_NONE);
  at = T0 + first;
  hs_trust_end (&trust, HSX_END_FAILED, "e", at);
  assert_true (hs_trust_due (&trust, at) - at > first);
  at = hs_trust_due (&trust, at);
  hs_trust_end (&trust, HSX_END_DONE, "f", at);
  assert_int_equal (hs_trust_level (&trust, at), HS_TRUST_FULL);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup (f, setup)
  const struct CMUnitTest tests[] = {
    TEST (bad_ends_of_different_jobs_in_a_row_suspend),
    TEST (a_job_that_fails_many_times_counts_once),
    TEST (a_good_end_in_between_begins_anew),
    TEST (ends_that_are_nobodys_fault_say_nothing),
    TEST (a_trial_that_fails_suspends_for_longer_one_that_succeeds_ends_it),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
