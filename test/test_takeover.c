#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/error.h"
#include "owner_world.h"

static void
a_new_owner_waits_for_the_agents (void **state)
{
  World *w = world_new ();
  HsWaiter waiter;

  (void) state;
  world_agent (w, AGENT);
  world_own (w, EPOCH, 3);
  assert_int_equal (w->recovers->len, 1);
  waiter = world_submit (w, world_id (w, 0, 1), 1, 'x');
  assert_int_equal (w->starts->len, 0);
  world_recovered (w, AGENT, NULL, 0);
  assert_int_equal (w->starts->len, 1);
  world_result (w, world_start (w, 0), HSX_DONE, HSX_REFUSAL_NONE, "");
  assert_int_equal (world_answer (w, waiter)->state, HSX_JOB_COMPLETE);
  world_free (w);
}

static void
an_agent_is_used_once_every_entry_knows_it (void **state)
{
  World *w = world_new ();

  (void) state;
  world_own (w, EPOCH, 0);
  world_member (w, AGENT, HSX_MEMBER_UP);
  hs_owner_agent_up (w->owner, AGENT, w->now);
  world_recovered (w, AGENT, NULL, 0);
  world_grant (w, AGENT, 1);
  world_submit (w, world_id (w, 0, 1), 1, 'x');
  assert_int_equal (w->starts->len, 0);
  hs_owner_agent_introduced (w->owner, AGENT, w->now);
  assert_int_equal (w->starts->len, 1);
  world_free (w);
}

static void
what_agents_remember_is_not_started_again (void **state)
{
  World *w = world_new ();
  char *id = world_id (w, -500, 1);
  hsx_result records[2];
  hsx_result late;
  hsx_result_args results = { { 1, &late } };
  HsWaiter waiter;

  (void) state;
  world_agent (w, AGENT);
  world_own (w, EPOCH, 3);
  records[0] = world_record (id, 0, HSX_DONE);
  records[1] = world_record (id, 1, HSX_RUNNING);
  world_recovered (w, AGENT, records, 2);
  waiter = world_submit (w, id, 3, 'x');
  /* Only the task that no agent knows is started. */
  assert_int_equal (w->starts->len, 1);
  assert_int_equal (world_start (w, 0)->index, 2);
  world_result (w, world_start (w, 0), HSX_DONE, HSX_REFUSAL_NONE, "");
  assert_null (world_answer (w, waiter));
  late = world_record (id, 1, HSX_DONE);
  hs_owner_results (w->owner, AGENT, &results, w->now);
  assert_int_equal (world_answer (w, waiter)->state, HSX_JOB_COMPLETE);
  assert_string_equal (world_answer (w, waiter)->first_body, "kept");
  world_free (w);
}

static void
other_content_under_a_recovered_id_is_refused (void **state)
{
  World *w = world_new ();
  char *id = world_id (w, -500, 1);
  hsx_result record;
  HsWaiter waiter;

  (void) state;
  world_agent (w, AGENT);
  world_own (w, EPOCH, 3);
  record = world_record (id, 0, HSX_DONE);
  world_recovered (w, AGENT, &record, 1);
  waiter = world_submit (w, id, 1, 'y');
  assert_int_equal (world_answer (w, waiter)->kind, HS_ERROR_CONFLICT);
  assert_int_equal (w->starts->len, 0);
  world_free (w);
}

static void
running_tasks_of_the_old_owner_count_in_flight (void **state)
{
  World *w = world_new ();
  char *id = world_id (w, -500, 1);
  hsx_result record;

  (void) state;
  world_allow (w, 1, 1000, 100);
  world_agent (w, AGENT);
  world_own (w, EPOCH, 3);
  record = world_record (id, 0, HSX_RUNNING);
  world_recovered (w, AGENT, &record, 1);
  world_submit (w, world_id (w, 0, 2), 1, 'x');
  assert_int_equal (w->starts->len, 0);
  world_free (w);
}

static void
an_agent_that_cannot_answer_makes_old_ids_uncertain (void **state)
{
  World *w = world_new ();
  char *old = world_id (w, -500, 1);
  HsWaiter waiter;

  (void) state;
  world_agent (w, AGENT);
  world_agent (w, OTHER_AGENT);
  world_own (w, EPOCH, 3);
  world_recovered (w, AGENT, NULL, 0);
  waiter = world_submit (w, old, 1, 'x');
  assert_int_equal (w->starts->len, 0);
  world_pass (w, 2 * HS_SEC);
  assert_int_equal (world_answer (w, waiter)->tasks[0], HSX_TASK_MAY_HAVE_RUN);
  /* Ids from after the takeover and the clocks' margins run freely. */
  world_grant (w, AGENT, 1);
  world_submit (w, world_id (w, 600, 2), 1, 'x');
  assert_int_equal (w->starts->len, 0);
  world_pass (w, 2 * HS_SEC);
  hs_owner_set_lease (w->owner, w->now.mono + 4 * HS_SEC);
  world_grant (w, AGENT, 1);
  world_submit (w, world_id (w, 0, 3), 1, 'x');
  assert_int_equal (w->starts->len, 1);
  world_free (w);
}

static void
an_agent_lost_before_the_takeover_makes_older_ids_uncertain (void **state)
{
  World *w = world_new ();
  char *before = world_id (w, -500, 1);
  HsWaiter waiter;

  (void) state;
  world_agent (w, AGENT);
  world_agent (w, OTHER_AGENT);
  world_member (w, OTHER_AGENT, HSX_MEMBER_LOST);
  world_pass (w, 3 * HS_SEC);
  hs_owner_set_lease (w->owner, w->now.mono + 4 * HS_SEC);
  world_own (w, EPOCH, 3);
  world_recovered (w, AGENT, NULL, 0);
  world_grant (w, AGENT, 1);
  waiter = world_submit (w, before, 1, 'x');
  assert_int_equal (world_answer (w, waiter)->tasks[0], HSX_TASK_MAY_HAVE_RUN);
  world_submit (w, world_id (w, 0, 2), 1, 'x');
  assert_int_equal (w->starts->len, 1);
  world_free (w);
}

static void
a_lost_partition_reroutes_its_callers (void **state)
{
  World *w = world_new ();

  (void) state;
  world_own (w, EPOCH, 0);
  world_agent (w, AGENT);
  world_recovered (w, AGENT, NULL, 0);
  world_submit (w, world_id (w, 0, 1), 2, 'x');
  hs_owner_disown (w->owner, world_part (), w->now);
  assert_int_equal (w->rerouted->len, 1);
  assert_int_equal (w->answers->len, 0);
  assert_int_equal (hs_owner_unfinished (w->owner), 0);
  world_free (w);
}

/* A job with one finished, one sent and one waiting task moves. */
static void
a_handover_carries_every_task (void **state)
{
  World *from = world_new ();
  World *to = world_new ();
  char *id = world_id (from, 0, 1);
  hsx_handover_args *messages;
  hsx_result running;
  hsx_result_args results = { { 1, &running } };
  HsWaiter waiter;
  size_t n;

  (void) state;
  world_allow (from, 2, 1000, 100);
  world_own (from, EPOCH, 0);
  world_agent (from, AGENT);
  world_recovered (from, AGENT, NULL, 0);
  world_agent (to, AGENT);
  world_submit (from, id, 4, 'x');
  world_result (from, world_start (from, 0), HSX_DONE, HSX_REFUSAL_NONE, "a");
  assert_int_equal (from->starts->len, 3);
  hs_owner_freeze (from->owner, world_part ());
  messages = hs_owner_export (from->owner, from, world_part (), from->now, &n);
  assert_int_equal (n, 1);
  assert_true (hs_owner_import (to->owner, &messages[0], to->now));
  world_own_handed (to, EPOCH + 1, EPOCH);
  waiter = world_submit (to, id, 4, 'x');
  running = world_record (id, 1, HSX_RUNNING);
  world_recovered (to, AGENT, &running, 1);
  assert_int_equal (to->settles->len, 1);
  assert_int_equal (to->starts->len, 1);
  assert_int_equal (world_start (to, 0)->index, 3);
  world_result (to, world_start (to, 0), HSX_DONE, HSX_REFUSAL_NONE, "d");
  running = world_record (id, 1, HSX_DONE);
  hs_owner_results (to->owner, AGENT, &results, to->now);
  running = world_record (id, 2, HSX_DONE);
  hs_owner_results (to->owner, AGENT, &results, to->now);
  assert_int_equal (world_answer (to, waiter)->state, HSX_JOB_COMPLETE);
  assert_string_equal (world_answer (to, waiter)->first_body, "a");
  world_free (from);
  world_free (to);
}

/* Freezes the partition and passes it; the record isn't written yet. */
static void
pass_part (World *from, World *to)
{
  hsx_handover_args *messages;
  size_t n;

  hs_owner_freeze (from->owner, world_part ());
  messages = hs_owner_export (from->owner, from, world_part (), from->now, &n);
  assert_true (hs_owner_import (to->owner, &messages[0], to->now));
}

/* A World that has adopted a job of 2 tasks in flight and asked for them. */
static World *
adopting_world (void)
{
  World *from = world_new ();
  World *to = world_new ();

  world_own (from, EPOCH, 0);
  world_agent (from, AGENT);
  world_recovered (from, AGENT, NULL, 0);
  world_agent (to, AGENT);
  world_submit (from, world_id (from, 0, 1), 2, 'x');
  assert_int_equal (from->starts->len, 2);
  pass_part (from, to);
  world_own_handed (to, EPOCH + 1, EPOCH);
  assert_int_equal (to->settles->len, 1);
  world_free (from);
  return to;
}

static void
own_next_part (World *w)
{
  HsOwnedPart part = { world_part () + 1, EPOCH + 2, 0, false };

  hs_owner_own (w->owner, 1, &part, w->now);
}

/* One SETTLE at a time, however many partitions follow meanwhile. */
static void
adopted_tasks_are_asked_for_once (void **state)
{
  World *w = adopting_world ();
  hsx_result running[2];
  hsx_settle_reply reply = { { 2, running } };

  (void) state;
  own_next_part (w);
  own_next_part (w);
  assert_int_equal (w->settles->len, 1);
  running[0] = world_record (world_id (w, 0, 1), 0, HSX_RUNNING);
  running[1] = world_record (world_id (w, 0, 1), 1, HSX_RUNNING);
  hs_owner_settled (w->owner, AGENT, &reply, w->now);
  assert_int_equal (w->settles->len, 1);
  world_free (w);
}

static void
adopted_tasks_are_asked_for_after_a_lost_reply (void **state)
{
  World *w = adopting_world ();

  (void) state;
  own_next_part (w);
  hs_owner_settled (w->owner, AGENT, NULL, w->now);
  assert_int_equal (w->settles->len, 2);
  hs_owner_settled (w->owner, AGENT, NULL, w->now);
  assert_int_equal (w->settles->len, 2);
  world_free (w);
}

static void
a_handover_of_another_epoch_is_dropped (void **state)
{
  World *from = world_new ();
  World *to = world_new ();
  char *id = world_id (from, 0, 1);

  (void) state;
  world_own (from, EPOCH, 0);
  world_submit (from, id, 1, 'x');
  pass_part (from, to);
  world_own_handed (to, EPOCH + 2, EPOCH + 1);
  assert_int_equal (hs_owner_unfinished (to->owner), 0);
  world_free (from);
  world_free (to);
}

/* What only an agent told isn't passed, and the agent may be gone. */
static void
a_handover_after_a_takeover_makes_recovered_ids_uncertain (void **state)
{
  World *from = world_new ();
  World *to = world_new ();
  char *id = world_id (from, 0, 1);
  hsx_result done = world_record (id, 0, HSX_DONE);
  HsWaiter waiter;

  (void) state;
  world_agent (from, AGENT);
  world_own (from, EPOCH + 1, EPOCH);
  world_recovered (from, AGENT, &done, 1);
  pass_part (from, to);
  world_agent (to, OTHER_AGENT);
  world_own_handed (to, EPOCH + 2, EPOCH + 1);
  world_recovered (to, OTHER_AGENT, NULL, 0);
  waiter = world_submit (to, id, 1, 'x');
  assert_int_equal (to->starts->len, 0);
  assert_int_equal (world_answer (to, waiter)->tasks[0], HSX_TASK_MAY_HAVE_RUN);
  world_free (from);
  world_free (to);
}

/* The handover was called off, the old owner went on with the job and died. */
static void
a_staged_copy_is_not_adopted_by_a_takeover (void **state)
{
  World *from = world_new ();
  World *to = world_new ();
  char *id = world_id (from, 0, 1);
  HsWaiter waiter;

  (void) state;
  world_own (from, EPOCH, 0);
  world_submit (from, id, 1, 'x');
  pass_part (from, to);
  hs_owner_thaw (from->owner, world_part (), from->now);
  world_agent (from, OTHER_AGENT);
  assert_int_equal (from->starts->len, 1);
  world_agent (to, AGENT);
  world_agent (to, OTHER_AGENT);
  world_member (to, OTHER_AGENT, HSX_MEMBER_LOST);
  world_own (to, EPOCH + 1, EPOCH);
  world_recovered (to, AGENT, NULL, 0);
  assert_int_equal (to->starts->len, 0);
  waiter = world_submit (to, id, 1, 'x');
  assert_int_equal (to->starts->len, 0);
  assert_int_equal (world_answer (to, waiter)->tasks[0], HSX_TASK_MAY_HAVE_RUN);
  world_free (from);
  world_free (to);
}

static void
a_handover_that_failed_goes_on_here (void **state)
{
  World *w = world_new ();
  HsWaiter waiter;

  (void) state;
  world_own (w, EPOCH, 0);
  world_submit (w, world_id (w, 0, 1), 1, 'x');
  hs_owner_freeze (w->owner, world_part ());
  waiter = world_submit (w, world_id (w, 0, 2), 1, 'x');
  world_agent (w, AGENT);
  assert_int_equal (w->starts->len, 0);
  hs_owner_thaw (w->owner, world_part (), w->now);
  assert_int_equal (w->starts->len, 2);
  world_result (w, world_start (w, 1), HSX_DONE, HSX_REFUSAL_NONE, "");
  assert_non_null (world_answer (w, waiter));
  world_free (w);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_new_owner_waits_for_the_agents),
    cmocka_unit_test (an_agent_is_used_once_every_entry_knows_it),
    cmocka_unit_test (what_agents_remember_is_not_started_again),
    cmocka_unit_test (other_content_under_a_recovered_id_is_refused),
    cmocka_unit_test (running_tasks_of_the_old_owner_count_in_flight),
    cmocka_unit_test (an_agent_that_cannot_answer_makes_old_ids_uncertain),
    cmocka_unit_test (
        an_agent_lost_before_the_takeover_makes_older_ids_uncertain),
    cmocka_unit_test (a_lost_partition_reroutes_its_callers),
    cmocka_unit_test (a_handover_carries_every_task),
    cmocka_unit_test (adopted_tasks_are_asked_for_once),
    cmocka_unit_test (adopted_tasks_are_asked_for_after_a_lost_reply),
    cmocka_unit_test (a_handover_of_another_epoch_is_dropped),
    cmocka_unit_test (
        a_handover_after_a_takeover_makes_recovered_ids_uncertain),
    cmocka_unit_test (a_staged_copy_is_not_adopted_by_a_takeover),
    cmocka_unit_test (a_handover_that_failed_goes_on_here),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
