/* What an owner keeps of finished jobs, and what it says of those it had to
   forget for room. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/error.h"
#include "owner_world.h"

/** Enough to pass the bound of the world, 1 MiB, by far. */
#define MANY 3000
#define PAUSE (10 * HS_MSEC)
#define BOUND (1 << 20)

/** As old as an eighth of the world's retention: never forgotten for room. */
#define YOUNG_JOBS (60 * HS_SEC / 8 / PAUSE)

static World *
serving_world (void)
{
  World *w = world_new ();

  world_own (w, EPOCH, 0);
  world_agent (w, AGENT);
  world_recovered (w, AGENT, NULL, 0);
  return w;
}

static void
pass (World *w, HsTime span)
{
  hs_owner_set_lease (w->owner, w->now.mono + span + 4 * HS_SEC);
  world_pass (w, span);
}

/* Runs a job of one task to its end. */
static char *
run_one (World *w, const char *body)
{
  char *id = world_id (w, 0, 1);

  world_submit (w, id, 1, 'x');
  world_result (w, world_start (w, w->starts->len - 1), HSX_DONE,
                HSX_REFUSAL_NONE, body);
  pass (w, PAUSE);
  return id;
}

static char *
run_many (World *w)
{
  char *first = run_one (w, "ok");
  uint32_t i;

  for (i = 1; i < MANY; i++)
    run_one (w, "ok");
  return first;
}

static void
a_forgotten_job_is_expired_and_never_runs_again (void **state)
{
  World *w = serving_world ();
  char *first = run_many (w);
  const Answered *answer;

  (void) state;
  assert_int_equal (w->starts->len, MANY);
  assert_true (hs_owner_stats (w->owner)->forgotten > 0);
  answer = world_answer (w, world_submit (w, first, 1, 'x'));
  assert_int_equal (answer->state, HSX_JOB_REFUSED);
  assert_int_equal (answer->kind, HS_ERROR_EXPIRED);
  assert_false (answer->not_run);
  pass (w, HS_SEC);
  assert_int_equal (w->starts->len, MANY);
  world_free (w);
}

static void
what_is_kept_stays_within_its_bound (void **state)
{
  World *w = serving_world ();
  const Answered *answer;
  char *last;

  (void) state;
  run_many (w);
  last = run_one (w, "ok");
  assert_true (hs_owner_kept_bytes (w->owner) <= BOUND);
  assert_true (hs_owner_kept_bytes (w->owner) > BOUND / 2);
  answer = world_answer (w, world_submit (w, last, 1, 'x'));
  assert_int_equal (answer->state, HSX_JOB_COMPLETE);
  assert_string_equal (answer->first_body, "ok");
  pass (w, 62 * HS_SEC);
  assert_int_equal (hs_owner_kept_bytes (w->owner), 0);
  world_free (w);
}

/* An id may be submitted first a while after it was minted. */
static void
a_young_unknown_id_still_runs (void **state)
{
  World *w = serving_world ();
  char *id;

  (void) state;
  run_many (w);
  id = world_id (w, -(YOUNG_JOBS - 1) * (PAUSE / HS_MSEC), 2);
  world_submit (w, id, 1, 'y');
  assert_int_equal (w->starts->len, MANY + 1);
  world_free (w);
}

/* A claimed id doesn't show its age, so its job isn't forgotten for room. */
static void
an_opaque_id_is_not_forgotten_for_room (void **state)
{
  World *w = serving_world ();
  const Answered *answer;

  (void) state;
  world_submit (w, "order-17", 1, 'x');
  hs_owner_claimed (w->owner, "c", "order-17", HS_OWNER_CLAIMED, w->now);
  world_result (w, world_start (w, 0), HSX_DONE, HSX_REFUSAL_NONE, "17");
  run_many (w);
  assert_true (hs_owner_stats (w->owner)->forgotten > 0);
  answer = world_answer (w, world_submit (w, "order-17", 1, 'x'));
  assert_int_equal (answer->state, HSX_JOB_REFUSED);
  assert_int_equal (answer->kind, HS_ERROR_EXPIRED);
  assert_false (answer->not_run);
  assert_int_equal (w->starts->len, MANY + 1);
  assert_int_equal (w->claims->len, 1);
  world_free (w);
}

static void
a_new_owner_does_not_run_what_the_old_one_forgot (void **state)
{
  World *from = serving_world ();
  World *to = world_new ();
  char *first = run_many (from);
  hsx_handover_args *messages;
  const Answered *answer;
  size_t n;
  size_t i;

  (void) state;
  to->now = from->now;
  hs_owner_set_lease (to->owner, to->now.mono + 4 * HS_SEC);
  world_agent (to, AGENT);
  hs_owner_freeze (from->owner, world_part ());
  messages = hs_owner_export (from->owner, from, world_part (), from->now, &n);
  for (i = 0; i < n; i++)
    assert_true (hs_owner_import (to->owner, &messages[i], to->now));
  world_own_handed (to, EPOCH + 1, EPOCH);
  world_recovered (to, AGENT, NULL, 0);
  answer = world_answer (to, world_submit (to, first, 1, 'x'));
  assert_int_equal (answer->state, HSX_JOB_FAILED);
  assert_int_equal (answer->tasks[0], HSX_TASK_MAY_HAVE_RUN);
  assert_int_equal (to->starts->len, 0);
  world_free (from);
  world_free (to);
}

/* Large answers make room for each other, not in place of ids. */
static void
large_answers_go_before_ids (void **state)
{
  World *w = serving_world ();
  g_autofree char *large = g_strnfill (BOUND / 10, 'b');
  const Answered *answer;
  char *first;
  char *last;
  uint32_t i;

  (void) state;
  first = run_one (w, large);
  for (i = 0; i < 300; i++)
    run_one (w, i % 10 == 0 ? large : "");
  last = run_one (w, "ok");
  assert_int_equal (hs_owner_stats (w->owner)->forgotten, 0);
  assert_true (hs_owner_kept_bytes (w->owner) <= BOUND);
  answer = world_answer (w, world_submit (w, first, 1, 'x'));
  assert_int_equal (answer->kind, HS_ERROR_EXPIRED);
  assert_false (answer->not_run);
  answer = world_answer (w, world_submit (w, last, 1, 'x'));
  assert_string_equal (answer->first_body, "ok");
  assert_int_equal (w->starts->len, 302);
  world_free (w);
}

/* The matrix found that a claim may end after its job was cancelled. */
static void
a_claim_that_ends_after_a_cancel_starts_nothing (void **state)
{
  static const HsOwnerClaim OUTCOMES[]
      = { HS_OWNER_CLAIMED, HS_OWNER_CLAIM_DEPOSED, HS_OWNER_CLAIM_REFUSED,
          HS_OWNER_CLAIM_UNDECIDED };
  size_t i;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (OUTCOMES); i++)
    {
      World *w = serving_world ();
      HsWaiter waiter = world_submit (w, "order-17", 2, 'x');

      world_cancel (w, "order-17");
      assert_int_equal (world_answer (w, waiter)->tasks[0], HSX_TASK_NOT_RUN);
      hs_owner_claimed (w->owner, "c", "order-17", OUTCOMES[i], w->now);
      pass (w, HS_SEC);
      assert_int_equal (w->starts->len, 0);
      assert_int_equal (w->answers->len, 2);
      world_free (w);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_forgotten_job_is_expired_and_never_runs_again),
    cmocka_unit_test (what_is_kept_stays_within_its_bound),
    cmocka_unit_test (a_young_unknown_id_still_runs),
    cmocka_unit_test (an_opaque_id_is_not_forgotten_for_room),
    cmocka_unit_test (a_new_owner_does_not_run_what_the_old_one_forgot),
    cmocka_unit_test (large_answers_go_before_ids),
    cmocka_unit_test (a_claim_that_ends_after_a_cancel_starts_nothing),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
