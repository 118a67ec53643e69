/* When runs are over whose target is out of reach, and what leases are asked
   for, against a model of the target. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/liveness.h"
#include "direct/runs.h"
#include "target_model.h"

#define T0 (1000 * HS_SEC)
#define CAPACITY 4000
#define CPU 1000
#define STEP (5 * HS_MSEC)
#define LONG_RUN (5 * HS_SEC)
#define SUSPENSION (450 * HS_MSEC)

/* Longer than any lease that a target grants. */
#define CUT (3 * HS_SEC)

static void *ctx;
static HsTime now;
static HsRuns *runs;
static HsTargetModel model;
static HsTargetPoll polls[64];
static uint32_t n_polls;
static uint32_t started_run;
static HsTargetStart started;
static hsx_end last_end;
static uint32_t n_ends;

static void
on_start (void *arg, uint32_t run, const HsTargetStart *start)
{
  (void) arg;
  started_run = run;
  started = *start;
}

static void
on_abandon_start (void *arg, uint32_t run)
{
  (void) arg;
  (void) run;
}

static void
on_stop (void *arg, const HsRunKey *key, uint64_t token)
{
  (void) arg;
  (void) key;
  (void) token;
}

static void
on_poll (void *arg, const HsTargetPoll *poll)
{
  (void) arg;
  polls[n_polls++] = *poll;
}

static void
on_ended (void *arg, uint32_t entry, const HsRunKey *key, const hsx_end *end)
{
  (void) arg;
  (void) entry;
  (void) key;
  last_end = *end;
  n_ends++;
}

static void
on_changed (void *arg)
{
  (void) arg;
}

static void
on_offered (void *arg, uint32_t entry)
{
  (void) arg;
  (void) entry;
}

static void
on_crash (void *arg, const HsCrash *crash)
{
  (void) arg;
  (void) crash;
}

static const HsRunsEffects RUNS_EFFECTS
    = { on_start,   on_abandon_start, on_stop,  on_poll,  on_ended,
        on_changed, on_offered,       on_crash, on_crash, NULL };

static void
advance (HsTime span)
{
  now += span;
  hs_target_model_advance (&model, now);
  hs_runs_tick (runs, now);
}

static void
answer_polls (void)
{
  while (n_polls > 0)
    {
      HsTargetPoll poll = polls[0];
      HsTargetList list;
      HsTargetResult result;

      n_polls--;
      memmove (polls, polls + 1, n_polls * sizeof *polls);
      result = hs_target_model_poll (&model, &poll, &list, now);
      hs_runs_poll_done (runs, poll.number, result,
                         result == HS_TARGET_OK ? &list : NULL, now);
      if (result != HS_TARGET_OK)
        continue;
      g_free (list.running);
      g_free (list.ends);
    }
}

static void
lose_polls (void)
{
  while (n_polls > 0)
    hs_runs_poll_done (runs, polls[--n_polls].number, HS_TARGET_UNANSWERED,
                       NULL, now);
}

static void
announce (uint64_t sequence)
{
  HsAnnouncement announcement = { .name = "target1",
                                  .service = "s",
                                  .address = "127.0.0.1:1",
                                  .sequence = sequence };

  announcement.started_ms = model.started_ms;
  announcement.capacity = (hsx_room){ CAPACITY, 1000, 0 };
  hs_runs_target_announced (runs, &announcement, now);
  advance (0);
}

static void
start (const char *job, uint64_t ref)
{
  hsx_launch_task task = { .ref = ref, .attempt = 1 };
  hsx_launch order = { .job = (char *) job,
                       .customer = (char *) "c",
                       .spec = { 1, (char *) "x" },
                       .needs = { CPU, 10, 0 },
                       .expected_ms = 200,
                       .left_ms = 10000 };
  HsTargetResult result;

  hs_runs_launch (runs, 0, &order, &task, now, now);
  result = hs_target_model_start (&model, &started, LONG_RUN, false, CPU, now);
  assert_int_equal (result, HS_TARGET_OK);
  hs_runs_start_done (runs, started_run, result, now);
  advance (0);
}

static void
answer_for (HsTime span)
{
  HsTime until = now + span;

  while (now < until)
    {
      answer_polls ();
      advance (STEP);
    }
}

/* Lets time pass in which the target answers no poll and gets none. */
static void
pass_in_silence (HsTime span)
{
  HsTime until = now + span;

  while (now < until)
    {
      advance (STEP);
      lose_polls ();
    }
}

/* Suspends the host of agent and target, and wakes it: the target's clock
   stands still, the agent's goes on. */
static void
suspend_host (void)
{
  guint i;

  now += SUSPENSION;
  model.started_at += SUSPENSION;
  model.lease_until += SUSPENSION;
  for (i = 0; i < model.runs->len; i++)
    g_array_index (model.runs, HsModelRun, i).started += SUSPENSION;
  hs_runs_resume (runs, SUSPENSION, now);
}

/* Nothing reaches the target any more, or leaves it. */
static void
cut_until_the_run_is_reported_as_ended (void)
{
  HsTime until = now + CUT;
  uint32_t before = n_ends;

  while (n_ends == before && now < until)
    {
      lose_polls ();
      advance (STEP);
    }
  assert_int_equal (n_ends, before + 1);
  assert_int_equal (last_end.how, HSX_END_LAPSED);
}

static int
setup (void **state)
{
  HsRunsOptions options = { .lease = HS_LEASE_MAX,
                            .max_lease = HS_SEC,
                            .stop_timeout = 50 * HS_MSEC };

  (void) state;
  now = T0;
  n_polls = n_ends = 0;
  ctx = talloc_new (NULL);
  hs_target_model_init (&model, now);
  model.clock_start_ms = 1000 * 1000;
  runs = hs_runs_new (ctx, &options, 1000, &RUNS_EFFECTS, NULL);
  announce (1);
  answer_polls ();
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (ctx);
  hs_target_model_clear (&model);
  return 0;
}

static void
a_run_is_over_when_its_lease_is (void **state)
{
  (void) state;
  start ("a", 1);
  answer_polls ();
  cut_until_the_run_is_reported_as_ended ();
  assert_int_equal (model.runs->len, 0);
}

/* Guards against two runs of one task: a poll with a lease on the clock of a
   target that has crashed reaches the target that was started in its place,
   under the same name and with a clock that is behind, and which grants the
   longest lease. The runs on it outlast the lease that the agent counts. */
static void
a_lease_on_the_clock_of_an_earlier_incarnation_ends_no_run_early (void **state)
{
  (void) state;
  start ("a", 1);
  answer_polls ();
  advance (STEP);
  assert_int_equal (n_polls, 1);
  assert_true (polls[0].renews_lease);
  hs_target_model_restart (&model, now);
  answer_polls ();
  assert_int_equal (n_ends, 1);
  announce (1);
  answer_polls ();
  start ("b", 2);
  answer_polls ();
  cut_until_the_run_is_reported_as_ended ();
  assert_int_equal (last_end.ref, 2);
  assert_int_equal (model.runs->len, 0);
}

/* Guards against a task that runs twice: the target's lease hadn't expired, as
   its clock stood still, when the agent took its run as over. */
static void
a_suspended_host_does_not_end_a_lease (void **state)
{
  (void) state;
  start ("a", 1);
  answer_for (2 * HS_SEC);
  pass_in_silence (300 * HS_MSEC);
  suspend_host ();
  while (model.runs->len > 0)
    {
      pass_in_silence (STEP);
      if (model.runs->len > 0)
        assert_int_equal (n_ends, 0);
    }
  pass_in_silence (HS_LEASE_MAX);
  assert_int_equal (n_ends, 1);
  assert_int_equal (last_end.how, HSX_END_LAPSED);
}

/* Guards against a task that goes on for longer than a lease after its agent
   has died: the lease was counted on the agent's clock. */
static void
a_suspended_host_gets_no_longer_lease (void **state)
{
  HsTime longest;

  (void) state;
  start ("a", 1);
  answer_polls ();
  suspend_host ();
  hs_runs_tick (runs, now);
  longest = now + HS_LEASE_MAX + HS_LEASE_MAX / 20;
  answer_polls ();
  assert_true (model.lease_until <= longest);
  /* The clock is known again, and the lease is renewed. */
  hs_runs_tick (runs, now);
  assert_true (polls[0].renews_lease);
  answer_polls ();
  assert_in_range (model.lease_until, now + HS_LEASE_MAX * 9 / 10, longest);
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_READY);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)

int
main (void)
{
  static const struct CMUnitTest tests[] = {
    TEST (a_run_is_over_when_its_lease_is),
    TEST (a_lease_on_the_clock_of_an_earlier_incarnation_ends_no_run_early),
    TEST (a_suspended_host_does_not_end_a_lease),
    TEST (a_suspended_host_gets_no_longer_lease),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
