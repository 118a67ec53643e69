/* The table of cancelled jobs: how long, how many, and which jobs it has. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "direct/cancelled_jobs.h"

#define T0 (1000 * HS_SEC)

static HsCancelledJobs *jobs;

static int
set_up (void **state)
{
  (void) state;
  jobs = hs_cancelled_jobs_new (NULL);
  return 0;
}

static int
tear_down (void **state)
{
  (void) state;
  talloc_free (jobs);
  return 0;
}

/* Guards against a job of another customer that is taken for the cancelled
   one. */
static void
a_job_is_its_customer_and_id (void **state)
{
  (void) state;
  hs_cancelled_jobs_add (jobs, "c", "00ff", T0, T0);
  assert_true (hs_cancelled_jobs_has (jobs, "c", "00ff", T0));
  assert_false (hs_cancelled_jobs_has (jobs, "d", "00ff", T0));
  assert_false (hs_cancelled_jobs_has (jobs, "c", "00fe", T0));
}

/* Guards against an id that can never be used again. */
static void
a_job_is_forgotten_after_the_span (void **state)
{
  HsTime end = T0 + HS_CANCELLED_JOBS_SPAN;

  (void) state;
  hs_cancelled_jobs_add (jobs, "c", "01", T0, T0);
  assert_true (hs_cancelled_jobs_has (jobs, "c", "01", end - 1));
  assert_false (hs_cancelled_jobs_has (jobs, "c", "01", end));
  hs_cancelled_jobs_add (jobs, "c", "02", end, end);
  assert_int_equal (hs_cancelled_jobs_count (jobs), 1);
}

/* Guards against a span that begins anew with each message about the job: two
   entries would remember it for as long as they tell each other of it. */
static void
a_message_about_an_earlier_cancelling_does_not_extend_the_span (void **state)
{
  HsTime end = T0 + HS_CANCELLED_JOBS_SPAN;

  (void) state;
  hs_cancelled_jobs_add (jobs, "c", "01", T0, T0);
  hs_cancelled_jobs_add (jobs, "c", "01", T0 - HS_SEC, end - HS_SEC);
  assert_true (hs_cancelled_jobs_has (jobs, "c", "01", end - 1));
  assert_false (hs_cancelled_jobs_has (jobs, "c", "01", end));
  hs_cancelled_jobs_add (jobs, "c", "02", T0, end);
  assert_false (hs_cancelled_jobs_has (jobs, "c", "02", end));
}

static void
a_later_cancelling_extends_the_span (void **state)
{
  (void) state;
  hs_cancelled_jobs_add (jobs, "c", "01", T0, T0);
  hs_cancelled_jobs_add (jobs, "c", "01", T0 + HS_SEC, T0 + HS_SEC);
  assert_true (
      hs_cancelled_jobs_has (jobs, "c", "01", T0 + HS_CANCELLED_JOBS_SPAN));
  assert_int_equal (hs_cancelled_jobs_count (jobs), 1);
}

/* Guards against memory that grows with the number of cancelled jobs. */
static void
the_number_of_jobs_is_bounded (void **state)
{
  char id[20];
  uint32_t i;

  (void) state;
  for (i = 0; i <= HS_CANCELLED_JOBS_MAX; i++)
    {
      g_snprintf (id, sizeof id, "%x", i);
      hs_cancelled_jobs_add (jobs, "c", id, T0 + i, T0 + i);
    }
  assert_int_equal (hs_cancelled_jobs_count (jobs), HS_CANCELLED_JOBS_MAX);
  assert_false (hs_cancelled_jobs_has (jobs, "c", "0", T0 + i));
  assert_true (hs_cancelled_jobs_has (jobs, "c", "1", T0 + i));
  assert_true (hs_cancelled_jobs_has (jobs, "c", id, T0 + i));
}

static void
the_latest_jobs_are_listed (void **state)
{
  HsCancelledJob list[2];

  (void) state;
  hs_cancelled_jobs_add (jobs, "c", "01", T0, T0);
  hs_cancelled_jobs_add (jobs, "c", "02", T0 + 1, T0 + 1);
  hs_cancelled_jobs_add (jobs, "d", "03", T0 + 2, T0 + 2);
  assert_int_equal (hs_cancelled_jobs_list (jobs, T0 + 2, list, 2), 1);
  assert_string_equal (list[0].id, "03");
  assert_string_equal (list[0].customer, "d");
  assert_int_equal (list[0].cancelled_at, T0 + 2);
  assert_int_equal (hs_cancelled_jobs_list (jobs, 0, list, 2), 2);
  assert_string_equal (list[1].id, "02");
}

#define TEST(test) cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (a_job_is_its_customer_and_id),
    TEST (a_job_is_forgotten_after_the_span),
    TEST (a_message_about_an_earlier_cancelling_does_not_extend_the_span),
    TEST (a_later_cancelling_extends_the_span),
    TEST (the_number_of_jobs_is_bounded),
    TEST (the_latest_jobs_are_listed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
