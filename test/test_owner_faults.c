/* Faults that the matrix found in the owner, each alone. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/error.h"
#include "owner_world.h"

#define RETRY_SPAN (100 * HS_MSEC)

static World *
serving_world (void)
{
  World *w = world_new ();

  world_own (w, EPOCH, 0);
  world_agent (w, AGENT);
  world_recovered (w, AGENT, NULL, 0);
  return w;
}

/* The reply to the first RECOVER must not be taken for that to a second. */
static void
an_announcement_starts_no_second_recovery (void **state)
{
  World *w = world_new ();

  (void) state;
  world_agent (w, AGENT);
  world_own (w, EPOCH, 3);
  assert_int_equal (w->recovers->len, 1);
  hs_owner_agent_up (w->owner, AGENT, w->now);
  assert_int_equal (w->recovers->len, 1);
  hs_owner_agent_down (w->owner, AGENT, w->now);
  hs_owner_agent_up (w->owner, AGENT, w->now);
  assert_int_equal (w->recovers->len, 2);
  world_free (w);
}

static void
a_frozen_partition_starts_nothing_again (void **state)
{
  World *w = serving_world ();
  TALLOC_CTX *memory = talloc_new (NULL);
  hsx_handover_args *messages;
  size_t n;

  (void) state;
  world_submit (w, world_id (w, 0, 1), 1, 'x');
  assert_int_equal (w->starts->len, 1);
  hs_owner_freeze (w->owner, world_part ());
  messages = hs_owner_export (w->owner, memory, world_part (), w->now, &n);
  assert_int_equal (messages[0].jobs.jobs_val[0].states.states_val[0].state,
                    HSX_HO_SENT);
  world_result (w, world_start (w, 0), HSX_REFUSED, HSX_REFUSAL_CREDIT, "");
  world_pass (w, RETRY_SPAN);
  assert_int_equal (w->starts->len, 1);
  hs_owner_thaw (w->owner, world_part (), w->now);
  world_pass (w, RETRY_SPAN);
  assert_int_equal (w->starts->len, 2);
  talloc_free (memory);
  world_free (w);
}

/* It was sent before the partition went to another entry and came back. */
static void
a_refusal_of_an_earlier_epoch_is_late (void **state)
{
  World *w = serving_world ();
  HsWaiter waiter = world_submit (w, world_id (w, 0, 1), 1, 'x');
  SentStart earlier = *world_start (w, 0);

  (void) state;
  earlier.epoch--;
  world_result (w, &earlier, HSX_REFUSED, HSX_REFUSAL_EPOCH, "");
  world_pass (w, RETRY_SPAN);
  assert_int_equal (w->starts->len, 1);
  assert_int_equal (hs_owner_stats (w->owner)->late_results, 1);
  world_result (w, world_start (w, 0), HSX_DONE, HSX_REFUSAL_NONE, "");
  assert_int_equal (world_answer (w, waiter)->state, HSX_JOB_COMPLETE);
  world_free (w);
}

/* An unfinished job's results were never counted as kept. */
static void
a_dropped_job_leaves_the_kept_answers_alone (void **state)
{
  World *w = serving_world ();
  char *id = world_id (w, 0, 2);
  HsWaiter waiter;

  (void) state;
  world_submit (w, world_id (w, 0, 1), 2, 'x');
  world_result (w, world_start (w, 0), HSX_DONE, HSX_REFUSAL_NONE, "longer");
  hs_owner_disown (w->owner, world_part (), w->now);
  world_own (w, EPOCH + 1, 0);
  world_recovered (w, AGENT, NULL, 0);
  world_submit (w, id, 1, 'y');
  world_result (w, world_start (w, w->starts->len - 1), HSX_DONE,
                HSX_REFUSAL_NONE, "mine");
  world_pass (w, HS_MSEC);
  waiter = world_submit (w, id, 1, 'y');
  assert_int_equal (world_answer (w, waiter)->state, HSX_JOB_COMPLETE);
  assert_string_equal (world_answer (w, waiter)->first_body, "mine");
  world_free (w);
}

static void
a_dropped_result_is_not_handed_over_as_done (void **state)
{
  World *w = serving_world ();
  TALLOC_CTX *memory = talloc_new (NULL);
  g_autofree char *large = g_strnfill (2 << 20, 'b');
  hsx_handover_args *messages;
  const hsx_handover_task *task;
  size_t n;

  (void) state;
  world_submit (w, world_id (w, 0, 1), 1, 'x');
  world_result (w, world_start (w, 0), HSX_DONE, HSX_REFUSAL_NONE, large);
  world_pass (w, HS_MSEC);
  hs_owner_freeze (w->owner, world_part ());
  messages = hs_owner_export (w->owner, memory, world_part (), w->now, &n);
  task = &messages[0].jobs.jobs_val[0].states.states_val[0];
  assert_int_equal (task->answer.body.body_len, 0);
  assert_int_equal (task->answer.state, HSX_TASK_MAY_HAVE_RUN);
  assert_int_equal (task->answer.kind, HS_ERROR_EXPIRED);
  talloc_free (memory);
  world_free (w);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (an_announcement_starts_no_second_recovery),
    cmocka_unit_test (a_frozen_partition_starts_nothing_again),
    cmocka_unit_test (a_refusal_of_an_earlier_epoch_is_late),
    cmocka_unit_test (a_dropped_job_leaves_the_kept_answers_alone),
    cmocka_unit_test (a_dropped_result_is_not_handed_over_as_done),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
