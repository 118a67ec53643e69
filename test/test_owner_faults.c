/**
 * @file
 * Regression tests for faults of the owner that the fault matrix found.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/error.h"
#include "owner_fixture.h"

#define RETRY_SPAN (100 * HS_MSEC)

static OwnerFixture *
serving_fixture (void)
{
  OwnerFixture *f = fixture_new ();

  fixture_acquire (f, EPOCH, 0);
  fixture_add_agent (f, AGENT);
  fixture_recover_reply (f, AGENT, NULL, 0);
  return f;
}

/* A second RECOVER while the first is pending would make the reply to the first
   count as the reply to the second. */
static void
a_repeated_announcement_sends_no_second_recover (void **state)
{
  OwnerFixture *f = fixture_new ();

  (void) state;
  fixture_add_agent (f, AGENT);
  fixture_acquire (f, EPOCH, 3);
  assert_int_equal (f->recover_calls->len, 1);
  hs_owner_agent_connected (f->owner, AGENT, f->now);
  assert_int_equal (f->recover_calls->len, 1);
  hs_owner_agent_disconnected (f->owner, AGENT, f->now);
  hs_owner_agent_connected (f->owner, AGENT, f->now);
  assert_int_equal (f->recover_calls->len, 2);
  fixture_free (f);
}

/* A start is refused while its partition is handed over. The new owner decides
   about the task then, so the old one must not start it again. */
static void
a_frozen_partition_does_not_resend_refused_starts (void **state)
{
  OwnerFixture *f = serving_fixture ();
  TALLOC_CTX *memory = talloc_new (NULL);
  hsx_handover_args *messages;
  size_t n;

  (void) state;
  fixture_submit (f, fixture_new_id (f, 0, 1), 1, 'x');
  assert_int_equal (f->starts->len, 1);
  hs_owner_freeze (f->owner, fixture_partition ());
  messages
      = hs_owner_export (f->owner, memory, fixture_partition (), f->now, &n);
  assert_int_equal (messages[0].jobs.jobs_val[0].states.states_val[0].state,
                    HSX_HO_SENT);
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_REFUSED,
                       HSX_REFUSAL_CREDIT, "");
  fixture_advance (f, RETRY_SPAN);
  assert_int_equal (f->starts->len, 1);
  hs_owner_unfreeze (f->owner, fixture_partition (), f->now);
  fixture_advance (f, RETRY_SPAN);
  assert_int_equal (f->starts->len, 2);
  talloc_free (memory);
  fixture_free (f);
}

/* The refused start was sent before the partition was handed over and back, and
   the task has been started again since. */
static void
a_refusal_of_an_earlier_epoch_is_ignored (void **state)
{
  OwnerFixture *f = serving_fixture ();
  HsWaiter waiter = fixture_submit (f, fixture_new_id (f, 0, 1), 1, 'x');
  SentStart earlier = *fixture_sent_start (f, 0);

  (void) state;
  earlier.epoch--;
  fixture_send_result (f, &earlier, HSX_REFUSED, HSX_REFUSAL_EPOCH, "");
  fixture_advance (f, RETRY_SPAN);
  assert_int_equal (f->starts->len, 1);
  assert_int_equal (hs_owner_stats (f->owner)->late_results, 1);
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       "");
  assert_int_equal (fixture_answer (f, waiter)->state, HSX_JOB_COMPLETE);
  fixture_free (f);
}

/* Results of an unfinished job are not part of the retained bytes. Subtracting
   them at the release would wrap the count below 0 and evict the next answer.
 */
static void
releasing_an_unfinished_job_leaves_retained_answers_alone (void **state)
{
  OwnerFixture *f = serving_fixture ();
  char *id = fixture_new_id (f, 0, 2);
  HsWaiter waiter;

  (void) state;
  fixture_submit (f, fixture_new_id (f, 0, 1), 2, 'x');
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       "longer");
  hs_owner_release (f->owner, fixture_partition (), f->now);
  fixture_acquire (f, EPOCH + 1, 0);
  fixture_recover_reply (f, AGENT, NULL, 0);
  fixture_submit (f, id, 1, 'y');
  fixture_send_result (f, fixture_sent_start (f, f->starts->len - 1), HSX_DONE,
                       HSX_REFUSAL_NONE, "mine");
  fixture_advance (f, HS_MSEC);
  waiter = fixture_submit (f, id, 1, 'y');
  assert_int_equal (fixture_answer (f, waiter)->state, HSX_JOB_COMPLETE);
  assert_string_equal (fixture_answer (f, waiter)->first_body, "mine");
  fixture_free (f);
}

/* Without its body an evicted result would look like a result with an empty
   body. */
static void
an_evicted_result_is_not_handed_over_as_done (void **state)
{
  OwnerFixture *f = serving_fixture ();
  TALLOC_CTX *memory = talloc_new (NULL);
  g_autofree char *large = g_strnfill (2 << 20, 'b');
  hsx_handover_args *messages;
  const hsx_handover_task *task;
  size_t n;

  (void) state;
  fixture_submit (f, fixture_new_id (f, 0, 1), 1, 'x');
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       large);
  fixture_advance (f, HS_MSEC);
  hs_owner_freeze (f->owner, fixture_partition ());
  messages
      = hs_owner_export (f->owner, memory, fixture_partition (), f->now, &n);
  task = &messages[0].jobs.jobs_val[0].states.states_val[0];
  assert_int_equal (task->answer.body.body_len, 0);
  assert_int_equal (task->answer.state, HSX_TASK_MAY_HAVE_RUN);
  assert_int_equal (task->answer.kind, HS_ERROR_EXPIRED);
  talloc_free (memory);
  fixture_free (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_repeated_announcement_sends_no_second_recover),
    cmocka_unit_test (a_frozen_partition_does_not_resend_refused_starts),
    cmocka_unit_test (a_refusal_of_an_earlier_epoch_is_ignored),
    cmocka_unit_test (
        releasing_an_unfinished_job_leaves_retained_answers_alone),
    cmocka_unit_test (an_evicted_result_is_not_handed_over_as_done),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
