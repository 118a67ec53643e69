/**
 * @file
 * Retention of finished jobs, and answers about jobs that were evicted.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/error.h"
#include "owner_fixture.h"

/** Enough jobs to exceed the memory bound of the fixture, 1 MiB, by far. */
#define N_JOBS 3000
#define JOB_INTERVAL (10 * HS_MSEC)
#define RETAINED_BYTES_MAX (1 << 20)

/** Number of jobs in an eighth of the retention, which are never evicted. */
#define N_YOUNG_JOBS (60 * HS_SEC / 8 / JOB_INTERVAL)

static OwnerFixture *
serving_fixture (void)
{
  OwnerFixture *f = fixture_new ();

  fixture_acquire (f, EPOCH, 0);
  fixture_add_agent (f, AGENT);
  fixture_recover_reply (f, AGENT, NULL, 0);
  return f;
}

static void
advance (OwnerFixture *f, HsTime span)
{
  hs_owner_set_lease (f->owner, f->now.mono + span + 4 * HS_SEC);
  fixture_advance (f, span);
}

/* Submits a job of one task and completes it. Returns its id. */
static char *
run_job (OwnerFixture *f, const char *body)
{
  char *id = fixture_new_id (f, 0, 1);

  fixture_submit (f, id, 1, 'x');
  fixture_send_result (f, fixture_sent_start (f, f->starts->len - 1), HSX_DONE,
                       HSX_REFUSAL_NONE, body);
  advance (f, JOB_INTERVAL);
  return id;
}

/* Runs N_JOBS jobs. Returns the id of the first. */
static char *
run_many_jobs (OwnerFixture *f)
{
  char *first = run_job (f, "ok");
  uint32_t i;

  for (i = 1; i < N_JOBS; i++)
    run_job (f, "ok");
  return first;
}

static void
an_evicted_job_is_expired_and_never_runs_again (void **state)
{
  OwnerFixture *f = serving_fixture ();
  char *first = run_many_jobs (f);
  const ReceivedAnswer *answer;

  (void) state;
  assert_int_equal (f->starts->len, N_JOBS);
  assert_true (hs_owner_stats (f->owner)->evicted_jobs > 0);
  answer = fixture_answer (f, fixture_submit (f, first, 1, 'x'));
  assert_int_equal (answer->state, HSX_JOB_REFUSED);
  assert_int_equal (answer->kind, HS_ERROR_EXPIRED);
  assert_false (answer->not_run);
  advance (f, HS_SEC);
  assert_int_equal (f->starts->len, N_JOBS);
  fixture_free (f);
}

static void
retained_bytes_stay_within_the_bound (void **state)
{
  OwnerFixture *f = serving_fixture ();
  const ReceivedAnswer *answer;
  char *last;

  (void) state;
  run_many_jobs (f);
  last = run_job (f, "ok");
  assert_true (hs_owner_retained_bytes (f->owner) <= RETAINED_BYTES_MAX);
  assert_true (hs_owner_retained_bytes (f->owner) > RETAINED_BYTES_MAX / 2);
  answer = fixture_answer (f, fixture_submit (f, last, 1, 'x'));
  assert_int_equal (answer->state, HSX_JOB_COMPLETE);
  assert_string_equal (answer->first_body, "ok");
  advance (f, 62 * HS_SEC);
  assert_int_equal (hs_owner_retained_bytes (f->owner), 0);
  fixture_free (f);
}

/* An id may be first submitted some time after it was created. */
static void
a_recent_unknown_id_still_runs (void **state)
{
  OwnerFixture *f = serving_fixture ();
  char *id;

  (void) state;
  run_many_jobs (f);
  id = fixture_new_id (f, -(N_YOUNG_JOBS - 1) * (JOB_INTERVAL / HS_MSEC), 2);
  fixture_submit (f, id, 1, 'y');
  assert_int_equal (f->starts->len, N_JOBS + 1);
  fixture_free (f);
}

/* An opaque id doesn't show its age, so its job must stay known. */
static void
an_opaque_id_is_not_evicted (void **state)
{
  OwnerFixture *f = serving_fixture ();
  const ReceivedAnswer *answer;

  (void) state;
  fixture_submit (f, "order-17", 1, 'x');
  hs_owner_claim_completed (f->owner, "c", "order-17", HS_OWNER_CLAIM_WRITTEN,
                            f->now);
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       "17");
  run_many_jobs (f);
  assert_true (hs_owner_stats (f->owner)->evicted_jobs > 0);
  answer = fixture_answer (f, fixture_submit (f, "order-17", 1, 'x'));
  assert_int_equal (answer->state, HSX_JOB_REFUSED);
  assert_int_equal (answer->kind, HS_ERROR_EXPIRED);
  assert_false (answer->not_run);
  assert_int_equal (f->starts->len, N_JOBS + 1);
  assert_int_equal (f->claims->len, 1);
  fixture_free (f);
}

static void
a_new_owner_does_not_run_a_job_that_the_old_one_evicted (void **state)
{
  OwnerFixture *from = serving_fixture ();
  OwnerFixture *to = fixture_new ();
  char *first = run_many_jobs (from);
  hsx_handover_args *messages;
  const ReceivedAnswer *answer;
  size_t n;
  size_t i;

  (void) state;
  to->now = from->now;
  hs_owner_set_lease (to->owner, to->now.mono + 4 * HS_SEC);
  fixture_add_agent (to, AGENT);
  hs_owner_freeze (from->owner, fixture_partition ());
  messages = hs_owner_export (from->owner, from, fixture_partition (),
                              from->now, &n);
  for (i = 0; i < n; i++)
    assert_true (hs_owner_import (to->owner, &messages[i], to->now));
  fixture_acquire_by_handover (to, EPOCH + 1, EPOCH);
  fixture_recover_reply (to, AGENT, NULL, 0);
  answer = fixture_answer (to, fixture_submit (to, first, 1, 'x'));
  assert_int_equal (answer->state, HSX_JOB_FAILED);
  assert_int_equal (answer->tasks[0], HSX_TASK_MAY_HAVE_RUN);
  assert_int_equal (to->starts->len, 0);
  fixture_free (from);
  fixture_free (to);
}

/* Large answers must evict each other's bodies, not ids. */
static void
large_answers_are_evicted_before_ids (void **state)
{
  OwnerFixture *f = serving_fixture ();
  g_autofree char *large = g_strnfill (RETAINED_BYTES_MAX / 10, 'b');
  const ReceivedAnswer *answer;
  char *first;
  char *last;
  uint32_t i;

  (void) state;
  first = run_job (f, large);
  for (i = 0; i < 300; i++)
    run_job (f, i % 10 == 0 ? large : "");
  last = run_job (f, "ok");
  assert_int_equal (hs_owner_stats (f->owner)->evicted_jobs, 0);
  assert_true (hs_owner_retained_bytes (f->owner) <= RETAINED_BYTES_MAX);
  answer = fixture_answer (f, fixture_submit (f, first, 1, 'x'));
  assert_int_equal (answer->kind, HS_ERROR_EXPIRED);
  assert_false (answer->not_run);
  answer = fixture_answer (f, fixture_submit (f, last, 1, 'x'));
  assert_string_equal (answer->first_body, "ok");
  assert_int_equal (f->starts->len, 302);
  fixture_free (f);
}

/* A claim may complete after its job was cancelled, as in a run of the fault
   matrix. */
static void
a_claim_that_completes_after_a_cancel_starts_nothing (void **state)
{
  static const HsOwnerClaimOutcome OUTCOMES[]
      = { HS_OWNER_CLAIM_WRITTEN, HS_OWNER_CLAIM_NOT_OWNER,
          HS_OWNER_CLAIM_NOT_WRITTEN, HS_OWNER_CLAIM_UNKNOWN };
  size_t i;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (OUTCOMES); i++)
    {
      OwnerFixture *f = serving_fixture ();
      HsWaiter waiter = fixture_submit (f, "order-17", 2, 'x');

      fixture_cancel (f, "order-17");
      assert_int_equal (fixture_answer (f, waiter)->tasks[0], HSX_TASK_NOT_RUN);
      hs_owner_claim_completed (f->owner, "c", "order-17", OUTCOMES[i], f->now);
      advance (f, HS_SEC);
      assert_int_equal (f->starts->len, 0);
      assert_int_equal (f->answers->len, 2);
      fixture_free (f);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (an_evicted_job_is_expired_and_never_runs_again),
    cmocka_unit_test (retained_bytes_stay_within_the_bound),
    cmocka_unit_test (a_recent_unknown_id_still_runs),
    cmocka_unit_test (an_opaque_id_is_not_evicted),
    cmocka_unit_test (a_new_owner_does_not_run_a_job_that_the_old_one_evicted),
    cmocka_unit_test (large_answers_are_evicted_before_ids),
    cmocka_unit_test (a_claim_that_completes_after_a_cancel_starts_nothing),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
