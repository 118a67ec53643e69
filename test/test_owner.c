#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/error.h"
#include "owner_world.h"

static World *
serving_world (void)
{
  World *w = world_new ();

  world_own (w, EPOCH, 0);
  world_agent (w, AGENT);
  world_recovered (w, AGENT, NULL, 0);
  return w;
}

/* The answer to SETTLE for the first task that was started. */
static void
settle_as_fenced (World *w, uint64_t agent)
{
  hsx_result fenced = world_record (world_start (w, 0)->id, 0, HSX_REFUSED);
  hsx_settle_reply reply = { { 1, &fenced } };

  fenced.refusal = HSX_REFUSAL_FENCED;
  hs_owner_settled (w->owner, agent, &reply, w->now);
}

static void
a_job_is_started_once_and_answered_whole (void **state)
{
  World *w = serving_world ();
  HsWaiter waiter = world_submit (w, world_id (w, 0, 1), 3, 'x');

  (void) state;
  assert_int_equal (w->starts->len, 3);
  assert_int_equal (world_start (w, 0)->epoch, EPOCH);
  assert_int_equal (world_start (w, 0)->permit_us, 4 * HS_SEC);
  world_result (w, world_start (w, 0), HSX_DONE, HSX_REFUSAL_NONE, "r0");
  world_result (w, world_start (w, 1), HSX_DONE, HSX_REFUSAL_NONE, "r1");
  assert_null (world_answer (w, waiter));
  world_result (w, world_start (w, 2), HSX_DONE, HSX_REFUSAL_NONE, "r2");
  assert_int_equal (world_answer (w, waiter)->state, HSX_JOB_COMPLETE);
  assert_int_equal (world_answer (w, waiter)->n, 3);
  assert_int_equal (w->starts->len, 3);
  world_free (w);
}

static void
a_resubmission_attaches_and_other_content_is_refused (void **state)
{
  World *w = serving_world ();
  char *id = world_id (w, 0, 1);
  HsWaiter first = world_submit (w, id, 1, 'x');
  HsWaiter second = world_submit (w, id, 1, 'x');
  HsWaiter other = world_submit (w, id, 1, 'y');
  HsWaiter later;

  (void) state;
  assert_int_equal (w->starts->len, 1);
  assert_int_equal (world_answer (w, other)->kind, HS_ERROR_CONFLICT);
  assert_false (world_answer (w, other)->not_run);
  world_result (w, world_start (w, 0), HSX_DONE, HSX_REFUSAL_NONE, "mine");
  assert_string_equal (world_answer (w, first)->first_body, "mine");
  assert_string_equal (world_answer (w, second)->first_body, "mine");
  later = world_submit (w, id, 1, 'x');
  assert_string_equal (world_answer (w, later)->first_body, "mine");
  assert_int_equal (w->starts->len, 1);
  world_free (w);
}

static void
tasks_in_flight_stay_within_the_allowance (void **state)
{
  World *w = serving_world ();

  (void) state;
  world_allow (w, 2, 1000, 1000);
  world_submit (w, world_id (w, 0, 1), 4, 'x');
  assert_int_equal (w->starts->len, 2);
  world_result (w, world_start (w, 0), HSX_DONE, HSX_REFUSAL_NONE, "");
  assert_int_equal (w->starts->len, 3);
  world_allow (w, 4, 1000, 1000);
  assert_int_equal (w->starts->len, 4);
  world_free (w);
}

static void
the_rate_of_starts_stays_within_the_allowance (void **state)
{
  World *w = serving_world ();

  (void) state;
  world_allow (w, 100, 2, 1000);
  world_submit (w, world_id (w, 0, 1), 4, 'x');
  assert_in_range (w->starts->len, 1, 2);
  while (w->starts->len < 4)
    {
      HsTime at = hs_owner_next_tick (w->owner);

      assert_true (at > w->now.mono && at <= w->now.mono + HS_SEC);
      world_pass (w, at - w->now.mono);
    }
  assert_true (w->now.mono >= 1000 * HS_SEC + HS_SEC);
  world_free (w);
}

static void
a_full_queue_refuses_as_not_run (void **state)
{
  World *w = serving_world ();
  HsWaiter waiter;

  (void) state;
  world_allow (w, 1, 1000, 2);
  world_submit (w, world_id (w, 0, 1), 3, 'x');
  waiter = world_submit (w, world_id (w, 0, 2), 1, 'x');
  assert_int_equal (world_answer (w, waiter)->kind, HS_ERROR_LIMIT);
  assert_true (world_answer (w, waiter)->not_run);
  world_free (w);
}

static void
nothing_starts_when_the_lease_is_not_certain (void **state)
{
  World *w = serving_world ();

  (void) state;
  world_pass (w, 4 * HS_SEC - 50 * HS_MSEC);
  world_grant (w, AGENT, 1);
  world_submit (w, world_id (w, 0, 1), 1, 'x');
  assert_int_equal (w->starts->len, 0);
  hs_owner_set_lease (w->owner, w->now.mono + 4 * HS_SEC);
  world_pass (w, HS_MSEC);
  assert_int_equal (w->starts->len, 1);
  world_free (w);
}

static void
ids_from_the_future_and_past_the_window_are_refused (void **state)
{
  World *w = serving_world ();
  HsWaiter ahead = world_submit (w, world_id (w, 5000, 1), 1, 'x');
  HsWaiter old = world_submit (w, world_id (w, -61000, 2), 1, 'x');

  (void) state;
  assert_true (world_answer (w, ahead)->not_run);
  assert_int_equal (world_answer (w, old)->kind, HS_ERROR_EXPIRED);
  assert_false (world_answer (w, old)->not_run);
  assert_int_equal (w->starts->len, 0);
  world_free (w);
}

static void
a_cancelled_job_tells_what_did_not_run (void **state)
{
  World *w = serving_world ();
  char *id = world_id (w, 0, 1);
  HsWaiter waiter;

  (void) state;
  world_allow (w, 1, 1000, 10);
  waiter = world_submit (w, id, 3, 'x');
  world_cancel (w, id);
  assert_null (world_answer (w, waiter));
  world_result (w, world_start (w, 0), HSX_DONE, HSX_REFUSAL_NONE, "");
  assert_int_equal (world_answer (w, waiter)->state, HSX_JOB_FAILED);
  assert_int_equal (world_answer (w, waiter)->tasks[0], HSX_TASK_DONE);
  assert_int_equal (world_answer (w, waiter)->tasks[1], HSX_TASK_NOT_RUN);
  assert_int_equal (w->starts->len, 1);
  world_free (w);
}

static void
a_refused_start_is_sent_again (void **state)
{
  World *w = serving_world ();
  HsWaiter waiter = world_submit (w, world_id (w, 0, 1), 1, 'x');

  (void) state;
  world_result (w, world_start (w, 0), HSX_REFUSED, HSX_REFUSAL_CREDIT, "");
  world_pass (w, 10 * HS_MSEC);
  assert_int_equal (w->starts->len, 2);
  world_result (w, world_start (w, 1), HSX_DONE, HSX_REFUSAL_NONE, "");
  assert_int_equal (world_answer (w, waiter)->state, HSX_JOB_COMPLETE);
  world_free (w);
}

static void
a_lost_agent_leaves_tasks_that_may_have_run (void **state)
{
  World *w = serving_world ();
  HsWaiter waiter = world_submit (w, world_id (w, 0, 1), 1, 'x');

  (void) state;
  hs_owner_agent_down (w->owner, AGENT, w->now);
  assert_null (world_answer (w, waiter));
  world_member (w, AGENT, HSX_MEMBER_LOST);
  assert_int_equal (world_answer (w, waiter)->tasks[0], HSX_TASK_MAY_HAVE_RUN);
  world_free (w);
}

/* The agent never starts what it has fenced, so that only another may. */
static void
a_broken_connection_is_settled_when_it_is_back (void **state)
{
  World *w = serving_world ();
  HsWaiter waiter = world_submit (w, world_id (w, 0, 1), 1, 'x');

  (void) state;
  hs_owner_agent_down (w->owner, AGENT, w->now);
  hs_owner_agent_up (w->owner, AGENT, w->now);
  assert_int_equal (w->settles->len, 1);
  world_grant (w, AGENT, 2);
  world_agent (w, OTHER_AGENT);
  assert_int_equal (w->starts->len, 1);
  settle_as_fenced (w, AGENT);
  world_pass (w, 10 * HS_MSEC);
  assert_int_equal (w->starts->len, 2);
  assert_int_equal (world_start (w, 1)->agent, OTHER_AGENT);
  world_result (w, world_start (w, 1), HSX_DONE, HSX_REFUSAL_NONE, "");
  assert_int_equal (world_answer (w, waiter)->state, HSX_JOB_COMPLETE);
  world_free (w);
}

static void
a_task_that_only_fencing_agents_could_run_is_not_run (void **state)
{
  World *w = serving_world ();
  HsWaiter waiter = world_submit (w, world_id (w, 0, 1), 1, 'x');

  (void) state;
  hs_owner_agent_down (w->owner, AGENT, w->now);
  hs_owner_agent_up (w->owner, AGENT, w->now);
  world_grant (w, AGENT, 2);
  settle_as_fenced (w, AGENT);
  world_pass (w, 10 * HS_MSEC);
  assert_null (world_answer (w, waiter));
  world_pass (w, 3 * HS_SEC);
  assert_int_equal (w->starts->len, 1);
  assert_int_equal (world_answer (w, waiter)->tasks[0], HSX_TASK_NOT_RUN);
  world_free (w);
}

/* Another owner may have taken over by then. */
static void
nothing_is_said_under_a_lapsed_lease (void **state)
{
  World *w = serving_world ();
  char *id = world_id (w, 0, 1);
  HsWaiter waiter;
  HsWaiter late;

  (void) state;
  world_allow (w, 1, 1000, 2);
  waiter = world_submit (w, id, 2, 'x');
  world_pass (w, 4 * HS_SEC);
  world_cancel (w, id);
  late = world_submit (w, world_id (w, 0, 2), 9, 'x');
  assert_null (world_answer (w, waiter));
  assert_null (world_answer (w, late));
  assert_int_equal (w->rerouted->len, 2);
  hs_owner_set_lease (w->owner, w->now.mono + 4 * HS_SEC);
  world_cancel (w, id);
  world_result (w, world_start (w, 0), HSX_DONE, HSX_REFUSAL_NONE, "");
  assert_int_equal (world_answer (w, waiter)->tasks[1], HSX_TASK_NOT_RUN);
  world_free (w);
}

/* An agent's reply to SETTLE is bounded and may leave tasks out. */
static void
what_a_reply_leaves_out_is_asked_again (void **state)
{
  World *w = serving_world ();
  HsWaiter waiter = world_submit (w, world_id (w, 0, 1), 2, 'x');
  hsx_result done;
  hsx_settle_reply reply = { { 1, &done } };

  (void) state;
  hs_owner_agent_down (w->owner, AGENT, w->now);
  hs_owner_agent_up (w->owner, AGENT, w->now);
  assert_int_equal (w->settles->len, 1);
  done = world_record (world_start (w, 0)->id, world_start (w, 0)->index,
                       HSX_DONE);
  hs_owner_settled (w->owner, AGENT, &reply, w->now);
  assert_int_equal (w->settles->len, 2);
  done = world_record (world_start (w, 1)->id, world_start (w, 1)->index,
                       HSX_DONE);
  hs_owner_settled (w->owner, AGENT, &reply, w->now);
  assert_int_equal (w->settles->len, 2);
  assert_int_equal (world_answer (w, waiter)->state, HSX_JOB_COMPLETE);
  world_free (w);
}

static void
bodies_over_the_bound_are_dropped_and_ids_are_not (void **state)
{
  World *w = serving_world ();
  g_autofree char *large = g_strnfill (1 << 20, 'b');
  char *first = world_id (w, 0, 1);
  HsWaiter waiter;

  (void) state;
  world_submit (w, first, 1, 'x');
  world_result (w, world_start (w, 0), HSX_DONE, HSX_REFUSAL_NONE, large);
  world_submit (w, world_id (w, 0, 2), 1, 'x');
  world_result (w, world_start (w, 1), HSX_DONE, HSX_REFUSAL_NONE, "small");
  world_pass (w, HS_MSEC);
  waiter = world_submit (w, first, 1, 'x');
  assert_int_equal (world_answer (w, waiter)->kind, HS_ERROR_EXPIRED);
  assert_false (world_answer (w, waiter)->not_run);
  assert_int_equal (w->starts->len, 2);
  world_free (w);
}

static void
an_opaque_id_starts_after_its_claim (void **state)
{
  World *w = serving_world ();
  HsWaiter waiter = world_submit (w, "order-17", 1, 'x');
  HsWaiter refused = world_submit (w, "order-18", 1, 'x');

  (void) state;
  assert_int_equal (w->claims->len, 2);
  assert_int_equal (w->starts->len, 0);
  hs_owner_claimed (w->owner, "c", "order-17", HS_OWNER_CLAIMED, w->now);
  assert_int_equal (w->starts->len, 1);
  hs_owner_claimed (w->owner, "c", "order-18", HS_OWNER_CLAIM_REFUSED, w->now);
  assert_true (world_answer (w, refused)->not_run);
  assert_null (world_answer (w, waiter));
  world_free (w);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_job_is_started_once_and_answered_whole),
    cmocka_unit_test (a_resubmission_attaches_and_other_content_is_refused),
    cmocka_unit_test (tasks_in_flight_stay_within_the_allowance),
    cmocka_unit_test (the_rate_of_starts_stays_within_the_allowance),
    cmocka_unit_test (a_full_queue_refuses_as_not_run),
    cmocka_unit_test (nothing_starts_when_the_lease_is_not_certain),
    cmocka_unit_test (ids_from_the_future_and_past_the_window_are_refused),
    cmocka_unit_test (a_cancelled_job_tells_what_did_not_run),
    cmocka_unit_test (a_refused_start_is_sent_again),
    cmocka_unit_test (a_lost_agent_leaves_tasks_that_may_have_run),
    cmocka_unit_test (a_broken_connection_is_settled_when_it_is_back),
    cmocka_unit_test (a_task_that_only_fencing_agents_could_run_is_not_run),
    cmocka_unit_test (nothing_is_said_under_a_lapsed_lease),
    cmocka_unit_test (what_a_reply_leaves_out_is_asked_again),
    cmocka_unit_test (bodies_over_the_bound_are_dropped_and_ids_are_not),
    cmocka_unit_test (an_opaque_id_starts_after_its_claim),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
