#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/error.h"
#include "owner_fixture.h"

static void
a_new_owner_waits_for_recover_replies (void **state)
{
  OwnerFixture *f = fixture_new ();
  HsWaiter waiter;

  (void) state;
  fixture_add_agent (f, AGENT);
  fixture_acquire (f, EPOCH, 3);
  assert_int_equal (f->recover_calls->len, 1);
  waiter = fixture_submit (f, fixture_new_id (f, 0, 1), 1, 'x');
  assert_int_equal (f->starts->len, 0);
  fixture_recover_reply (f, AGENT, NULL, 0);
  assert_int_equal (f->starts->len, 1);
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       "");
  assert_int_equal (fixture_answer (f, waiter)->state, HSX_JOB_COMPLETE);
  fixture_free (f);
}

static void
an_agent_is_used_only_when_every_entry_knows_it (void **state)
{
  OwnerFixture *f = fixture_new ();

  (void) state;
  fixture_acquire (f, EPOCH, 0);
  fixture_set_member_state (f, AGENT, HSX_MEMBER_UP);
  hs_owner_agent_connected (f->owner, AGENT, f->now);
  fixture_recover_reply (f, AGENT, NULL, 0);
  fixture_grant (f, AGENT, 1);
  fixture_submit (f, fixture_new_id (f, 0, 1), 1, 'x');
  assert_int_equal (f->starts->len, 0);
  hs_owner_agent_visible (f->owner, AGENT, f->now);
  assert_int_equal (f->starts->len, 1);
  fixture_free (f);
}

static void
recovered_starts_are_not_repeated (void **state)
{
  OwnerFixture *f = fixture_new ();
  char *id = fixture_new_id (f, -500, 1);
  hsx_result records[2];
  hsx_result late;
  hsx_result_args results = { { 1, &late } };
  HsWaiter waiter;

  (void) state;
  fixture_add_agent (f, AGENT);
  fixture_acquire (f, EPOCH, 3);
  records[0] = fixture_record (id, 0, HSX_DONE);
  records[1] = fixture_record (id, 1, HSX_RUNNING);
  fixture_recover_reply (f, AGENT, records, 2);
  waiter = fixture_submit (f, id, 3, 'x');
  /* Only the task that no agent reported is started. */
  assert_int_equal (f->starts->len, 1);
  assert_int_equal (fixture_sent_start (f, 0)->index, 2);
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       "");
  assert_null (fixture_answer (f, waiter));
  late = fixture_record (id, 1, HSX_DONE);
  hs_owner_results (f->owner, AGENT, &results, f->now);
  assert_int_equal (fixture_answer (f, waiter)->state, HSX_JOB_COMPLETE);
  assert_string_equal (fixture_answer (f, waiter)->first_body, "kept");
  fixture_free (f);
}

static void
other_content_under_a_recovered_id_is_refused (void **state)
{
  OwnerFixture *f = fixture_new ();
  char *id = fixture_new_id (f, -500, 1);
  hsx_result record;
  HsWaiter waiter;

  (void) state;
  fixture_add_agent (f, AGENT);
  fixture_acquire (f, EPOCH, 3);
  record = fixture_record (id, 0, HSX_DONE);
  fixture_recover_reply (f, AGENT, &record, 1);
  waiter = fixture_submit (f, id, 1, 'y');
  assert_int_equal (fixture_answer (f, waiter)->kind, HS_ERROR_CONFLICT);
  assert_int_equal (f->starts->len, 0);
  fixture_free (f);
}

static void
running_tasks_of_the_old_owner_count_in_flight (void **state)
{
  OwnerFixture *f = fixture_new ();
  char *id = fixture_new_id (f, -500, 1);
  hsx_result record;

  (void) state;
  fixture_set_allowance (f, 1, 1000, 100);
  fixture_add_agent (f, AGENT);
  fixture_acquire (f, EPOCH, 3);
  record = fixture_record (id, 0, HSX_RUNNING);
  fixture_recover_reply (f, AGENT, &record, 1);
  fixture_submit (f, fixture_new_id (f, 0, 2), 1, 'x');
  assert_int_equal (f->starts->len, 0);
  fixture_free (f);
}

static void
an_agent_that_does_not_answer_makes_old_ids_uncertain (void **state)
{
  OwnerFixture *f = fixture_new ();
  char *old = fixture_new_id (f, -500, 1);
  HsWaiter waiter;

  (void) state;
  fixture_add_agent (f, AGENT);
  fixture_add_agent (f, OTHER_AGENT);
  fixture_acquire (f, EPOCH, 3);
  fixture_recover_reply (f, AGENT, NULL, 0);
  waiter = fixture_submit (f, old, 1, 'x');
  assert_int_equal (f->starts->len, 0);
  fixture_advance (f, 2 * HS_SEC);
  assert_int_equal (fixture_answer (f, waiter)->tasks[0],
                    HSX_TASK_MAY_HAVE_RUN);
  /* An id created later than the takeover plus the clock margins is started. */
  fixture_grant (f, AGENT, 1);
  fixture_submit (f, fixture_new_id (f, 600, 2), 1, 'x');
  assert_int_equal (f->starts->len, 0);
  fixture_advance (f, 2 * HS_SEC);
  hs_owner_set_lease (f->owner, f->now.mono + 4 * HS_SEC);
  fixture_grant (f, AGENT, 1);
  fixture_submit (f, fixture_new_id (f, 0, 3), 1, 'x');
  assert_int_equal (f->starts->len, 1);
  fixture_free (f);
}

static void
an_agent_lost_before_the_takeover_makes_older_ids_uncertain (void **state)
{
  OwnerFixture *f = fixture_new ();
  char *before = fixture_new_id (f, -500, 1);
  HsWaiter waiter;

  (void) state;
  fixture_add_agent (f, AGENT);
  fixture_add_agent (f, OTHER_AGENT);
  fixture_set_member_state (f, OTHER_AGENT, HSX_MEMBER_LOST);
  fixture_advance (f, 3 * HS_SEC);
  hs_owner_set_lease (f->owner, f->now.mono + 4 * HS_SEC);
  fixture_acquire (f, EPOCH, 3);
  fixture_recover_reply (f, AGENT, NULL, 0);
  fixture_grant (f, AGENT, 1);
  waiter = fixture_submit (f, before, 1, 'x');
  assert_int_equal (fixture_answer (f, waiter)->tasks[0],
                    HSX_TASK_MAY_HAVE_RUN);
  fixture_submit (f, fixture_new_id (f, 0, 2), 1, 'x');
  assert_int_equal (f->starts->len, 1);
  fixture_free (f);
}

static void
releasing_a_partition_reroutes_its_requests (void **state)
{
  OwnerFixture *f = fixture_new ();

  (void) state;
  fixture_acquire (f, EPOCH, 0);
  fixture_add_agent (f, AGENT);
  fixture_recover_reply (f, AGENT, NULL, 0);
  fixture_submit (f, fixture_new_id (f, 0, 1), 2, 'x');
  hs_owner_release (f->owner, fixture_partition (), f->now);
  assert_int_equal (f->rerouted->len, 1);
  assert_int_equal (f->answers->len, 0);
  assert_int_equal (hs_owner_unfinished_jobs (f->owner), 0);
  fixture_free (f);
}

/* The job has finished, sent and waiting tasks. */
static void
a_handover_transfers_every_task (void **state)
{
  OwnerFixture *from = fixture_new ();
  OwnerFixture *to = fixture_new ();
  char *id = fixture_new_id (from, 0, 1);
  hsx_handover_args *messages;
  hsx_result running;
  hsx_result_args results = { { 1, &running } };
  HsWaiter waiter;
  size_t n;

  (void) state;
  fixture_set_allowance (from, 2, 1000, 100);
  fixture_acquire (from, EPOCH, 0);
  fixture_add_agent (from, AGENT);
  fixture_recover_reply (from, AGENT, NULL, 0);
  fixture_add_agent (to, AGENT);
  fixture_submit (from, id, 4, 'x');
  fixture_send_result (from, fixture_sent_start (from, 0), HSX_DONE,
                       HSX_REFUSAL_NONE, "a");
  assert_int_equal (from->starts->len, 3);
  hs_owner_freeze (from->owner, fixture_partition ());
  messages = hs_owner_export (from->owner, from, fixture_partition (),
                              from->now, &n);
  assert_int_equal (n, 1);
  assert_true (hs_owner_import (to->owner, &messages[0], to->now));
  fixture_acquire_by_handover (to, EPOCH + 1, EPOCH);
  waiter = fixture_submit (to, id, 4, 'x');
  running = fixture_record (id, 1, HSX_RUNNING);
  fixture_recover_reply (to, AGENT, &running, 1);
  assert_int_equal (to->settle_calls->len, 1);
  assert_int_equal (to->starts->len, 1);
  assert_int_equal (fixture_sent_start (to, 0)->index, 3);
  fixture_send_result (to, fixture_sent_start (to, 0), HSX_DONE,
                       HSX_REFUSAL_NONE, "d");
  running = fixture_record (id, 1, HSX_DONE);
  hs_owner_results (to->owner, AGENT, &results, to->now);
  running = fixture_record (id, 2, HSX_DONE);
  hs_owner_results (to->owner, AGENT, &results, to->now);
  assert_int_equal (fixture_answer (to, waiter)->state, HSX_JOB_COMPLETE);
  assert_string_equal (fixture_answer (to, waiter)->first_body, "a");
  fixture_free (from);
  fixture_free (to);
}

/* Freezes the partition and sends its jobs to another owner, which has not
   acquired it yet. */
static void
hand_over_partition (OwnerFixture *from, OwnerFixture *to)
{
  hsx_handover_args *messages;
  size_t n;

  hs_owner_freeze (from->owner, fixture_partition ());
  messages = hs_owner_export (from->owner, from, fixture_partition (),
                              from->now, &n);
  assert_true (hs_owner_import (to->owner, &messages[0], to->now));
}

/* Returns a fixture that has acquired a job with 2 sent tasks by handover and
   called SETTLE for them. */
static OwnerFixture *
adopting_fixture (void)
{
  OwnerFixture *from = fixture_new ();
  OwnerFixture *to = fixture_new ();

  fixture_acquire (from, EPOCH, 0);
  fixture_add_agent (from, AGENT);
  fixture_recover_reply (from, AGENT, NULL, 0);
  fixture_add_agent (to, AGENT);
  fixture_submit (from, fixture_new_id (from, 0, 1), 2, 'x');
  assert_int_equal (from->starts->len, 2);
  hand_over_partition (from, to);
  fixture_acquire_by_handover (to, EPOCH + 1, EPOCH);
  assert_int_equal (to->settle_calls->len, 1);
  fixture_free (from);
  return to;
}

static void
acquire_next_partition (OwnerFixture *f)
{
  HsOwnedPartition part = { fixture_partition () + 1, EPOCH + 2, 0, false };

  hs_owner_acquire (f->owner, 1, &part, f->now);
}

/* Partitions acquired while a SETTLE is pending cause no second one. */
static void
adopted_tasks_are_asked_for_once (void **state)
{
  OwnerFixture *f = adopting_fixture ();
  hsx_result running[2];
  hsx_settle_reply reply = { { 2, running } };

  (void) state;
  acquire_next_partition (f);
  acquire_next_partition (f);
  assert_int_equal (f->settle_calls->len, 1);
  running[0] = fixture_record (fixture_new_id (f, 0, 1), 0, HSX_RUNNING);
  running[1] = fixture_record (fixture_new_id (f, 0, 1), 1, HSX_RUNNING);
  hs_owner_settle_reply (f->owner, AGENT, &reply, f->now);
  assert_int_equal (f->settle_calls->len, 1);
  fixture_free (f);
}

static void
adopted_tasks_are_asked_for_after_a_lost_reply (void **state)
{
  OwnerFixture *f = adopting_fixture ();

  (void) state;
  acquire_next_partition (f);
  hs_owner_settle_reply (f->owner, AGENT, NULL, f->now);
  assert_int_equal (f->settle_calls->len, 2);
  hs_owner_settle_reply (f->owner, AGENT, NULL, f->now);
  assert_int_equal (f->settle_calls->len, 2);
  fixture_free (f);
}

static void
a_handover_of_another_epoch_is_discarded (void **state)
{
  OwnerFixture *from = fixture_new ();
  OwnerFixture *to = fixture_new ();
  char *id = fixture_new_id (from, 0, 1);

  (void) state;
  fixture_acquire (from, EPOCH, 0);
  fixture_submit (from, id, 1, 'x');
  hand_over_partition (from, to);
  fixture_acquire_by_handover (to, EPOCH + 2, EPOCH + 1);
  assert_int_equal (hs_owner_unfinished_jobs (to->owner), 0);
  fixture_free (from);
  fixture_free (to);
}

/* Starts that only an agent reported are not handed over, and the agent may be
   lost before the next owner asks it. */
static void
a_handover_after_a_takeover_makes_recovered_ids_uncertain (void **state)
{
  OwnerFixture *from = fixture_new ();
  OwnerFixture *to = fixture_new ();
  char *id = fixture_new_id (from, 0, 1);
  hsx_result done = fixture_record (id, 0, HSX_DONE);
  HsWaiter waiter;

  (void) state;
  fixture_add_agent (from, AGENT);
  fixture_acquire (from, EPOCH + 1, EPOCH);
  fixture_recover_reply (from, AGENT, &done, 1);
  hand_over_partition (from, to);
  fixture_add_agent (to, OTHER_AGENT);
  fixture_acquire_by_handover (to, EPOCH + 2, EPOCH + 1);
  fixture_recover_reply (to, OTHER_AGENT, NULL, 0);
  waiter = fixture_submit (to, id, 1, 'x');
  assert_int_equal (to->starts->len, 0);
  assert_int_equal (fixture_answer (to, waiter)->tasks[0],
                    HSX_TASK_MAY_HAVE_RUN);
  fixture_free (from);
  fixture_free (to);
}

/* The handover was aborted, and the old owner continued the job before it
   failed. */
static void
a_staged_copy_is_not_adopted_by_a_takeover (void **state)
{
  OwnerFixture *from = fixture_new ();
  OwnerFixture *to = fixture_new ();
  char *id = fixture_new_id (from, 0, 1);
  HsWaiter waiter;

  (void) state;
  fixture_acquire (from, EPOCH, 0);
  fixture_submit (from, id, 1, 'x');
  hand_over_partition (from, to);
  hs_owner_unfreeze (from->owner, fixture_partition (), from->now);
  fixture_add_agent (from, OTHER_AGENT);
  assert_int_equal (from->starts->len, 1);
  fixture_add_agent (to, AGENT);
  fixture_add_agent (to, OTHER_AGENT);
  fixture_set_member_state (to, OTHER_AGENT, HSX_MEMBER_LOST);
  fixture_acquire (to, EPOCH + 1, EPOCH);
  fixture_recover_reply (to, AGENT, NULL, 0);
  assert_int_equal (to->starts->len, 0);
  waiter = fixture_submit (to, id, 1, 'x');
  assert_int_equal (to->starts->len, 0);
  assert_int_equal (fixture_answer (to, waiter)->tasks[0],
                    HSX_TASK_MAY_HAVE_RUN);
  fixture_free (from);
  fixture_free (to);
}

static void
a_failed_handover_resumes_the_partition (void **state)
{
  OwnerFixture *f = fixture_new ();
  HsWaiter waiter;

  (void) state;
  fixture_acquire (f, EPOCH, 0);
  fixture_submit (f, fixture_new_id (f, 0, 1), 1, 'x');
  hs_owner_freeze (f->owner, fixture_partition ());
  waiter = fixture_submit (f, fixture_new_id (f, 0, 2), 1, 'x');
  fixture_add_agent (f, AGENT);
  assert_int_equal (f->starts->len, 0);
  hs_owner_unfreeze (f->owner, fixture_partition (), f->now);
  assert_int_equal (f->starts->len, 2);
  fixture_send_result (f, fixture_sent_start (f, 1), HSX_DONE, HSX_REFUSAL_NONE,
                       "");
  assert_non_null (fixture_answer (f, waiter));
  fixture_free (f);
}

/* Passes one result message to the owner. */
static void
send_record (OwnerFixture *f, uint64_t agent, hsx_result *result)
{
  hsx_result_args results = { { 1, result } };

  hs_owner_results (f->owner, agent, &results, f->now);
}

static hsx_result
refusal_record (char *id, hsx_refusal refusal, uint64_t epoch)
{
  hsx_result result = fixture_record (id, 0, HSX_REFUSED);

  result.refusal = refusal;
  result.epoch = epoch;
  return result;
}

/* The refusal of a start of this owner comes after another owner has started
   the task and handed it back. */
static void
a_refusal_from_before_a_handover_back_starts_no_task_twice (void **state)
{
  OwnerFixture *f = fixture_new ();
  OwnerFixture *other = fixture_new ();
  char *id = fixture_new_id (f, 0, 1);
  hsx_result refused = refusal_record (id, HSX_REFUSAL_CREDIT, EPOCH);
  hsx_result fenced = refusal_record (id, HSX_REFUSAL_FENCED, 0);
  hsx_settle_reply reply = { { 1, &fenced } };

  (void) state;
  fixture_acquire (f, EPOCH, 0);
  fixture_add_agent (f, AGENT);
  fixture_recover_reply (f, AGENT, NULL, 0);
  fixture_submit (f, id, 1, 'x');
  assert_int_equal (f->starts->len, 1);
  hs_owner_release (f->owner, fixture_partition (), f->now);
  fixture_add_agent (other, AGENT);
  fixture_acquire (other, EPOCH + 1, EPOCH);
  fixture_recover_reply (other, AGENT, NULL, 0);
  fixture_submit (other, id, 1, 'x');
  assert_int_equal (other->starts->len, 1);
  hand_over_partition (other, f);
  fixture_acquire_by_handover (f, EPOCH + 2, EPOCH + 1);
  fixture_recover_reply (f, AGENT, NULL, 0);
  send_record (f, AGENT, &refused);
  fixture_grant (f, AGENT, 2);
  fixture_advance (f, 100 * HS_MSEC);
  assert_int_equal (f->starts->len, 1);
  /* The agent is asked, and only its answer counts. */
  hs_owner_settle_reply (f->owner, AGENT, NULL, f->now);
  hs_owner_settle_reply (f->owner, AGENT, &reply, f->now);
  fixture_add_agent (f, OTHER_AGENT);
  fixture_advance (f, 100 * HS_MSEC);
  assert_int_equal (f->starts->len, 2);
  fixture_free (f);
  fixture_free (other);
}

/* The same for a task that only the agent has reported. */
static void
a_late_refusal_does_not_end_a_recovered_run (void **state)
{
  OwnerFixture *f = fixture_new ();
  char *id = fixture_new_id (f, 0, 1);
  hsx_result running = fixture_record (id, 0, HSX_RUNNING);
  hsx_result refused = refusal_record (id, HSX_REFUSAL_CREDIT, EPOCH);

  (void) state;
  fixture_add_agent (f, AGENT);
  fixture_add_agent (f, OTHER_AGENT);
  fixture_acquire (f, EPOCH + 2, EPOCH + 1);
  fixture_recover_reply (f, AGENT, &running, 1);
  fixture_recover_reply (f, OTHER_AGENT, NULL, 0);
  send_record (f, AGENT, &refused);
  fixture_submit (f, id, 1, 'x');
  fixture_advance (f, 100 * HS_MSEC);
  assert_int_equal (f->starts->len, 0);
  fixture_free (f);
}

/* The result was sent after the reply to RECOVER, on another connection. */
static void
a_result_that_overtakes_the_recover_reply_is_kept (void **state)
{
  OwnerFixture *f = fixture_new ();
  char *id = fixture_new_id (f, 0, 1);
  hsx_result running = fixture_record (id, 0, HSX_RUNNING);
  hsx_result done = fixture_record (id, 0, HSX_DONE);
  HsWaiter waiter;

  (void) state;
  fixture_add_agent (f, AGENT);
  fixture_acquire (f, EPOCH + 1, EPOCH);
  send_record (f, AGENT, &done);
  fixture_recover_reply (f, AGENT, &running, 1);
  waiter = fixture_submit (f, id, 1, 'x');
  assert_non_null (fixture_answer (f, waiter));
  assert_int_equal (fixture_answer (f, waiter)->tasks[0], HSX_TASK_DONE);
  assert_string_equal (fixture_answer (f, waiter)->first_body, "kept");
  fixture_free (f);
}

/* The result was lost with its connection. */
static void
a_second_recover_reply_ends_a_recovered_run (void **state)
{
  OwnerFixture *f = fixture_new ();
  char *id = fixture_new_id (f, 0, 1);
  hsx_result record = fixture_record (id, 0, HSX_RUNNING);
  HsWaiter waiter;

  (void) state;
  fixture_add_agent (f, AGENT);
  fixture_acquire (f, EPOCH + 1, EPOCH);
  fixture_recover_reply (f, AGENT, &record, 1);
  hs_owner_agent_disconnected (f->owner, AGENT, f->now);
  hs_owner_agent_connected (f->owner, AGENT, f->now);
  record = fixture_record (id, 0, HSX_DONE);
  fixture_recover_reply (f, AGENT, &record, 1);
  waiter = fixture_submit (f, id, 1, 'x');
  assert_non_null (fixture_answer (f, waiter));
  assert_int_equal (fixture_answer (f, waiter)->tasks[0], HSX_TASK_DONE);
  fixture_free (f);
}

/* The target could not be reached, so the agent has no record any more; its
   refusal was sent after the reply to RECOVER, on another connection. */
static void
a_refusal_that_overtakes_the_recover_reply_leaves_no_run_behind (void **state)
{
  OwnerFixture *f = fixture_new ();
  char *id = fixture_new_id (f, 0, 1);
  hsx_result running = fixture_record (id, 0, HSX_RUNNING);
  hsx_result refused = refusal_record (id, HSX_REFUSAL_TARGET, EPOCH);
  hsx_result fenced = refusal_record (id, HSX_REFUSAL_FENCED, 0);
  hsx_settle_reply reply = { { 1, &fenced } };

  (void) state;
  fixture_add_agent (f, AGENT);
  fixture_add_agent (f, OTHER_AGENT);
  fixture_acquire (f, EPOCH + 1, EPOCH);
  send_record (f, AGENT, &refused);
  fixture_recover_reply (f, OTHER_AGENT, NULL, 0);
  fixture_recover_reply (f, AGENT, &running, 1);
  fixture_submit (f, id, 1, 'x');
  assert_int_equal (f->starts->len, 0);
  assert_int_equal (f->settle_calls->len, 1);
  hs_owner_settle_reply (f->owner, AGENT, &reply, f->now);
  fixture_advance (f, 100 * HS_MSEC);
  assert_int_equal (f->starts->len, 1);
  assert_int_equal (fixture_sent_start (f, 0)->agent, OTHER_AGENT);
  fixture_free (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_new_owner_waits_for_recover_replies),
    cmocka_unit_test (an_agent_is_used_only_when_every_entry_knows_it),
    cmocka_unit_test (recovered_starts_are_not_repeated),
    cmocka_unit_test (other_content_under_a_recovered_id_is_refused),
    cmocka_unit_test (running_tasks_of_the_old_owner_count_in_flight),
    cmocka_unit_test (an_agent_that_does_not_answer_makes_old_ids_uncertain),
    cmocka_unit_test (
        an_agent_lost_before_the_takeover_makes_older_ids_uncertain),
    cmocka_unit_test (releasing_a_partition_reroutes_its_requests),
    cmocka_unit_test (a_handover_transfers_every_task),
    cmocka_unit_test (adopted_tasks_are_asked_for_once),
    cmocka_unit_test (adopted_tasks_are_asked_for_after_a_lost_reply),
    cmocka_unit_test (a_handover_of_another_epoch_is_discarded),
    cmocka_unit_test (
        a_handover_after_a_takeover_makes_recovered_ids_uncertain),
    cmocka_unit_test (a_staged_copy_is_not_adopted_by_a_takeover),
    cmocka_unit_test (a_failed_handover_resumes_the_partition),
    cmocka_unit_test (
        a_refusal_from_before_a_handover_back_starts_no_task_twice),
    cmocka_unit_test (a_late_refusal_does_not_end_a_recovered_run),
    cmocka_unit_test (a_result_that_overtakes_the_recover_reply_is_kept),
    cmocka_unit_test (a_second_recover_reply_ends_a_recovered_run),
    cmocka_unit_test (
        a_refusal_that_overtakes_the_recover_reply_leaves_no_run_behind),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
