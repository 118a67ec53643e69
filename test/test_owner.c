#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/error.h"
#include "owner_fixture.h"

static OwnerFixture *
serving_fixture (void)
{
  OwnerFixture *f = fixture_new ();

  fixture_acquire (f, EPOCH, 0);
  fixture_add_agent (f, AGENT);
  fixture_recover_reply (f, AGENT, NULL, 0);
  return f;
}

/* Replies to SETTLE that the agent has fenced the first task that was started.
 */
static void
reply_fenced_to_settle (OwnerFixture *f, uint64_t agent)
{
  hsx_result fenced
      = fixture_record (fixture_sent_start (f, 0)->id, 0, HSX_REFUSED);
  hsx_settle_reply reply = { { 1, &fenced } };

  fenced.refusal = HSX_REFUSAL_FENCED;
  hs_owner_settle_reply (f->owner, agent, &reply, f->now);
}

static void
a_job_starts_once_and_is_answered_when_complete (void **state)
{
  OwnerFixture *f = serving_fixture ();
  HsWaiter waiter = fixture_submit (f, fixture_new_id (f, 0, 1), 3, 'x');

  (void) state;
  assert_int_equal (f->starts->len, 3);
  assert_int_equal (fixture_sent_start (f, 0)->epoch, EPOCH);
  assert_int_equal (fixture_sent_start (f, 0)->permit_us, 4 * HS_SEC);
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       "r0");
  fixture_send_result (f, fixture_sent_start (f, 1), HSX_DONE, HSX_REFUSAL_NONE,
                       "r1");
  assert_null (fixture_answer (f, waiter));
  fixture_send_result (f, fixture_sent_start (f, 2), HSX_DONE, HSX_REFUSAL_NONE,
                       "r2");
  assert_int_equal (fixture_answer (f, waiter)->state, HSX_JOB_COMPLETE);
  assert_int_equal (fixture_answer (f, waiter)->n, 3);
  assert_int_equal (f->starts->len, 3);
  fixture_free (f);
}

static void
a_resubmission_shares_the_job_and_other_content_is_refused (void **state)
{
  OwnerFixture *f = serving_fixture ();
  char *id = fixture_new_id (f, 0, 1);
  HsWaiter first = fixture_submit (f, id, 1, 'x');
  HsWaiter second = fixture_submit (f, id, 1, 'x');
  HsWaiter other = fixture_submit (f, id, 1, 'y');
  HsWaiter later;

  (void) state;
  assert_int_equal (f->starts->len, 1);
  assert_int_equal (fixture_answer (f, other)->kind, HS_ERROR_CONFLICT);
  assert_false (fixture_answer (f, other)->not_run);
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       "mine");
  assert_string_equal (fixture_answer (f, first)->first_body, "mine");
  assert_string_equal (fixture_answer (f, second)->first_body, "mine");
  later = fixture_submit (f, id, 1, 'x');
  assert_string_equal (fixture_answer (f, later)->first_body, "mine");
  assert_int_equal (f->starts->len, 1);
  fixture_free (f);
}

static void
tasks_in_flight_stay_within_the_allowance (void **state)
{
  OwnerFixture *f = serving_fixture ();

  (void) state;
  fixture_set_allowance (f, 2, 1000, 1000);
  fixture_submit (f, fixture_new_id (f, 0, 1), 4, 'x');
  assert_int_equal (f->starts->len, 2);
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       "");
  assert_int_equal (f->starts->len, 3);
  fixture_set_allowance (f, 4, 1000, 1000);
  assert_int_equal (f->starts->len, 4);
  fixture_free (f);
}

static void
the_rate_of_starts_stays_within_the_allowance (void **state)
{
  OwnerFixture *f = serving_fixture ();

  (void) state;
  fixture_set_allowance (f, 100, 2, 1000);
  fixture_submit (f, fixture_new_id (f, 0, 1), 4, 'x');
  assert_in_range (f->starts->len, 1, 2);
  while (f->starts->len < 4)
    {
      HsTime at = hs_owner_next_tick (f->owner);

      assert_true (at > f->now.mono && at <= f->now.mono + HS_SEC);
      fixture_advance (f, at - f->now.mono);
    }
  assert_true (f->now.mono >= 1000 * HS_SEC + HS_SEC);
  fixture_free (f);
}

static void
a_full_queue_refuses_as_not_run (void **state)
{
  OwnerFixture *f = serving_fixture ();
  HsWaiter waiter;

  (void) state;
  fixture_set_allowance (f, 1, 1000, 2);
  fixture_submit (f, fixture_new_id (f, 0, 1), 3, 'x');
  waiter = fixture_submit (f, fixture_new_id (f, 0, 2), 1, 'x');
  assert_int_equal (fixture_answer (f, waiter)->kind, HS_ERROR_LIMIT);
  assert_true (fixture_answer (f, waiter)->not_run);
  fixture_free (f);
}

/* Guards against bodies of waiting jobs that are held without a bound, and
   against large ones that keep out all others. */
static void
large_jobs_leave_memory_to_ordinary_ones (void **state)
{
  OwnerFixture *f = serving_fixture ();
  HsWaiter waiter;

  (void) state;
  fixture_set_allowance (f, 1, 1000, 1000);
  f->body_bytes = 200000;
  fixture_submit (f, fixture_new_id (f, 0, 1), 4, 'x');
  waiter = fixture_submit (f, fixture_new_id (f, 0, 2), 1, 'x');
  assert_int_equal (fixture_answer (f, waiter)->kind, HS_ERROR_UNAVAILABLE);
  assert_true (fixture_answer (f, waiter)->not_run);
  f->body_bytes = 4;
  waiter = fixture_submit (f, fixture_new_id (f, 0, 3), 1, 'x');
  assert_null (fixture_answer (f, waiter));
  fixture_free (f);
}

static void
memory_of_finished_jobs_is_free_again (void **state)
{
  OwnerFixture *f = serving_fixture ();
  HsWaiter waiter;

  (void) state;
  f->body_bytes = 800000;
  fixture_submit (f, fixture_new_id (f, 0, 1), 1, 'x');
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       "");
  waiter = fixture_submit (f, fixture_new_id (f, 0, 2), 1, 'x');
  assert_null (fixture_answer (f, waiter));
  assert_int_equal (f->starts->len, 2);
  fixture_free (f);
}

static void
nothing_starts_when_the_lease_is_about_to_expire (void **state)
{
  OwnerFixture *f = serving_fixture ();

  (void) state;
  fixture_advance (f, 4 * HS_SEC - 50 * HS_MSEC);
  fixture_grant (f, AGENT, 1);
  fixture_submit (f, fixture_new_id (f, 0, 1), 1, 'x');
  assert_int_equal (f->starts->len, 0);
  hs_owner_set_lease (f->owner, f->now.mono + 4 * HS_SEC);
  fixture_advance (f, HS_MSEC);
  assert_int_equal (f->starts->len, 1);
  fixture_free (f);
}

static void
ids_from_the_future_and_past_the_window_are_refused (void **state)
{
  OwnerFixture *f = serving_fixture ();
  HsWaiter ahead = fixture_submit (f, fixture_new_id (f, 5000, 1), 1, 'x');
  HsWaiter old = fixture_submit (f, fixture_new_id (f, -61000, 2), 1, 'x');

  (void) state;
  assert_true (fixture_answer (f, ahead)->not_run);
  assert_int_equal (fixture_answer (f, old)->kind, HS_ERROR_EXPIRED);
  assert_false (fixture_answer (f, old)->not_run);
  assert_int_equal (f->starts->len, 0);
  fixture_free (f);
}

static void
a_cancelled_job_reports_tasks_that_did_not_run (void **state)
{
  OwnerFixture *f = serving_fixture ();
  char *id = fixture_new_id (f, 0, 1);
  HsWaiter waiter;

  (void) state;
  fixture_set_allowance (f, 1, 1000, 10);
  waiter = fixture_submit (f, id, 3, 'x');
  fixture_cancel (f, id);
  assert_null (fixture_answer (f, waiter));
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       "");
  assert_int_equal (fixture_answer (f, waiter)->state, HSX_JOB_FAILED);
  assert_int_equal (fixture_answer (f, waiter)->tasks[0], HSX_TASK_DONE);
  assert_int_equal (fixture_answer (f, waiter)->tasks[1], HSX_TASK_NOT_RUN);
  assert_int_equal (f->starts->len, 1);
  fixture_free (f);
}

static void
a_refused_start_is_sent_again (void **state)
{
  OwnerFixture *f = serving_fixture ();
  HsWaiter waiter = fixture_submit (f, fixture_new_id (f, 0, 1), 1, 'x');

  (void) state;
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_REFUSED,
                       HSX_REFUSAL_CREDIT, "");
  fixture_advance (f, 10 * HS_MSEC);
  assert_int_equal (f->starts->len, 2);
  fixture_send_result (f, fixture_sent_start (f, 1), HSX_DONE, HSX_REFUSAL_NONE,
                       "");
  assert_int_equal (fixture_answer (f, waiter)->state, HSX_JOB_COMPLETE);
  fixture_free (f);
}

static void
a_lost_agent_leaves_tasks_that_may_have_run (void **state)
{
  OwnerFixture *f = serving_fixture ();
  HsWaiter waiter = fixture_submit (f, fixture_new_id (f, 0, 1), 1, 'x');

  (void) state;
  hs_owner_agent_disconnected (f->owner, AGENT, f->now);
  assert_null (fixture_answer (f, waiter));
  fixture_set_member_state (f, AGENT, HSX_MEMBER_LOST);
  assert_int_equal (fixture_answer (f, waiter)->tasks[0],
                    HSX_TASK_MAY_HAVE_RUN);
  fixture_free (f);
}

/* An agent never starts a task that it has fenced, so another agent must. */
static void
a_reconnected_agent_is_asked_about_sent_tasks (void **state)
{
  OwnerFixture *f = serving_fixture ();
  HsWaiter waiter = fixture_submit (f, fixture_new_id (f, 0, 1), 1, 'x');

  (void) state;
  hs_owner_agent_disconnected (f->owner, AGENT, f->now);
  hs_owner_agent_connected (f->owner, AGENT, f->now);
  assert_int_equal (f->settle_calls->len, 1);
  fixture_grant (f, AGENT, 2);
  fixture_add_agent (f, OTHER_AGENT);
  assert_int_equal (f->starts->len, 1);
  reply_fenced_to_settle (f, AGENT);
  fixture_advance (f, 10 * HS_MSEC);
  assert_int_equal (f->starts->len, 2);
  assert_int_equal (fixture_sent_start (f, 1)->agent, OTHER_AGENT);
  fixture_send_result (f, fixture_sent_start (f, 1), HSX_DONE, HSX_REFUSAL_NONE,
                       "");
  assert_int_equal (fixture_answer (f, waiter)->state, HSX_JOB_COMPLETE);
  fixture_free (f);
}

static void
a_task_fenced_by_every_agent_ends_as_not_run (void **state)
{
  OwnerFixture *f = serving_fixture ();
  HsWaiter waiter = fixture_submit (f, fixture_new_id (f, 0, 1), 1, 'x');

  (void) state;
  hs_owner_agent_disconnected (f->owner, AGENT, f->now);
  hs_owner_agent_connected (f->owner, AGENT, f->now);
  fixture_grant (f, AGENT, 2);
  reply_fenced_to_settle (f, AGENT);
  fixture_advance (f, 10 * HS_MSEC);
  assert_null (fixture_answer (f, waiter));
  fixture_advance (f, 3 * HS_SEC);
  assert_int_equal (f->starts->len, 1);
  assert_int_equal (fixture_answer (f, waiter)->tasks[0], HSX_TASK_NOT_RUN);
  fixture_free (f);
}

/* Once the lease has expired another entry may own the partition. */
static void
no_answer_is_sent_under_an_expired_lease (void **state)
{
  OwnerFixture *f = serving_fixture ();
  char *id = fixture_new_id (f, 0, 1);
  HsWaiter waiter;
  HsWaiter late;

  (void) state;
  fixture_set_allowance (f, 1, 1000, 2);
  waiter = fixture_submit (f, id, 2, 'x');
  fixture_advance (f, 4 * HS_SEC);
  fixture_cancel (f, id);
  late = fixture_submit (f, fixture_new_id (f, 0, 2), 9, 'x');
  assert_null (fixture_answer (f, waiter));
  assert_null (fixture_answer (f, late));
  assert_int_equal (f->rerouted->len, 2);
  hs_owner_set_lease (f->owner, f->now.mono + 4 * HS_SEC);
  fixture_cancel (f, id);
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       "");
  assert_int_equal (fixture_answer (f, waiter)->tasks[1], HSX_TASK_NOT_RUN);
  fixture_free (f);
}

/* An agent's reply to SETTLE is bounded in size and may leave tasks out. */
static void
tasks_missing_from_a_settle_reply_are_asked_for_again (void **state)
{
  OwnerFixture *f = serving_fixture ();
  HsWaiter waiter = fixture_submit (f, fixture_new_id (f, 0, 1), 2, 'x');
  hsx_result done;
  hsx_settle_reply reply = { { 1, &done } };

  (void) state;
  hs_owner_agent_disconnected (f->owner, AGENT, f->now);
  hs_owner_agent_connected (f->owner, AGENT, f->now);
  assert_int_equal (f->settle_calls->len, 1);
  done = fixture_record (fixture_sent_start (f, 0)->id,
                         fixture_sent_start (f, 0)->index, HSX_DONE);
  hs_owner_settle_reply (f->owner, AGENT, &reply, f->now);
  assert_int_equal (f->settle_calls->len, 2);
  done = fixture_record (fixture_sent_start (f, 1)->id,
                         fixture_sent_start (f, 1)->index, HSX_DONE);
  hs_owner_settle_reply (f->owner, AGENT, &reply, f->now);
  assert_int_equal (f->settle_calls->len, 2);
  assert_int_equal (fixture_answer (f, waiter)->state, HSX_JOB_COMPLETE);
  fixture_free (f);
}

static void
bodies_over_the_bound_are_evicted_and_ids_are_not (void **state)
{
  OwnerFixture *f = serving_fixture ();
  g_autofree char *large = g_strnfill (1 << 20, 'b');
  char *first = fixture_new_id (f, 0, 1);
  HsWaiter waiter;

  (void) state;
  fixture_submit (f, first, 1, 'x');
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       large);
  fixture_submit (f, fixture_new_id (f, 0, 2), 1, 'x');
  fixture_send_result (f, fixture_sent_start (f, 1), HSX_DONE, HSX_REFUSAL_NONE,
                       "small");
  fixture_advance (f, HS_MSEC);
  waiter = fixture_submit (f, first, 1, 'x');
  assert_int_equal (fixture_answer (f, waiter)->kind, HS_ERROR_EXPIRED);
  assert_false (fixture_answer (f, waiter)->not_run);
  assert_int_equal (f->starts->len, 2);
  fixture_free (f);
}

static void
an_opaque_id_starts_after_its_claim (void **state)
{
  OwnerFixture *f = serving_fixture ();
  HsWaiter waiter = fixture_submit (f, "order-17", 1, 'x');
  HsWaiter refused = fixture_submit (f, "order-18", 1, 'x');

  (void) state;
  assert_int_equal (f->claims->len, 2);
  assert_int_equal (f->starts->len, 0);
  hs_owner_claim_completed (f->owner, "c", "order-17", HS_OWNER_CLAIM_WRITTEN,
                            f->now);
  assert_int_equal (f->starts->len, 1);
  hs_owner_claim_completed (f->owner, "c", "order-18",
                            HS_OWNER_CLAIM_NOT_WRITTEN, f->now);
  assert_true (fixture_answer (f, refused)->not_run);
  assert_null (fixture_answer (f, waiter));
  fixture_free (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_job_starts_once_and_is_answered_when_complete),
    cmocka_unit_test (
        a_resubmission_shares_the_job_and_other_content_is_refused),
    cmocka_unit_test (large_jobs_leave_memory_to_ordinary_ones),
    cmocka_unit_test (memory_of_finished_jobs_is_free_again),
    cmocka_unit_test (tasks_in_flight_stay_within_the_allowance),
    cmocka_unit_test (the_rate_of_starts_stays_within_the_allowance),
    cmocka_unit_test (a_full_queue_refuses_as_not_run),
    cmocka_unit_test (nothing_starts_when_the_lease_is_about_to_expire),
    cmocka_unit_test (ids_from_the_future_and_past_the_window_are_refused),
    cmocka_unit_test (a_cancelled_job_reports_tasks_that_did_not_run),
    cmocka_unit_test (a_refused_start_is_sent_again),
    cmocka_unit_test (a_lost_agent_leaves_tasks_that_may_have_run),
    cmocka_unit_test (a_reconnected_agent_is_asked_about_sent_tasks),
    cmocka_unit_test (a_task_fenced_by_every_agent_ends_as_not_run),
    cmocka_unit_test (no_answer_is_sent_under_an_expired_lease),
    cmocka_unit_test (tasks_missing_from_a_settle_reply_are_asked_for_again),
    cmocka_unit_test (bodies_over_the_bound_are_evicted_and_ids_are_not),
    cmocka_unit_test (an_opaque_id_starts_after_its_claim),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
