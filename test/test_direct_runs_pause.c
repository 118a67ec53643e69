/* Runs on an agent's target after both were suspended with their host: the
   target's clock stood still, the agent's went on. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/liveness.h"
#include "direct/runs.h"
#include "target_model.h"

#define SUSPENSION (450 * HS_MSEC)
#define RUN_TIME (2 * HS_SEC)

static void *ctx;
static HsRuns *runs;
static HsTargetModel model;
static HsTime now;
static HsTargetStart last_start;
static uint32_t last_run;
static HsTargetPoll polls[8];
static uint32_t n_polls;
static uint32_t n_ends;
static hsx_end last_end;

static void
on_start (void *arg, uint32_t run, const HsTargetStart *start)
{
  (void) arg;
  last_run = run;
  last_start = *start;
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

static const HsRunsEffects EFFECTS
    = { on_start,   on_abandon_start, on_stop,  on_poll,  on_ended,
        on_changed, on_offered,       on_crash, on_crash, NULL };

static HsTargetPoll
pop_poll (void)
{
  HsTargetPoll poll = polls[0];

  assert_true (n_polls > 0);
  n_polls--;
  memmove (polls, polls + 1, n_polls * sizeof *polls);
  return poll;
}

static void
answer_poll (void)
{
  HsTargetPoll poll = pop_poll ();
  HsTargetList list;

  assert_int_equal (hs_target_model_poll (&model, &poll, &list, now),
                    HS_TARGET_OK);
  hs_runs_poll_done (runs, poll.number, HS_TARGET_OK, &list, now);
  g_free (list.running);
  g_free (list.ends);
}

/* Lets time pass in which the target answers no poll and gets none. */
static void
pass_in_silence (HsTime span)
{
  HsTime until = now + span;

  while (now < until)
    {
      hs_runs_tick (runs, now);
      now += 10 * HS_MSEC;
      while (n_polls > 0)
        hs_runs_poll_done (runs, pop_poll ().number, HS_TARGET_UNANSWERED, NULL,
                           now);
    }
  hs_target_model_advance (&model, now);
}

/* Suspends the host of agent and target, and wakes it. */
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

static int
setup (void **state)
{
  HsRunsOptions options
      = { .lease = HS_LEASE_MAX, .stop_timeout = 50 * HS_MSEC };
  HsAnnouncement announcement = { .name = "target1",
                                  .service = "s",
                                  .address = "127.0.0.1:1",
                                  .sequence = 1,
                                  .capacity = { 4000, 1000, 0 } };
  hsx_launch_task task = { .ref = 7, .attempt = 1 };
  hsx_launch order = { .job = (char *) "a",
                       .customer = (char *) "c",
                       .spec = { 1, (char *) "x" },
                       .needs = { 1000, 10, 0 },
                       .expected_ms = RUN_TIME / HS_MSEC,
                       .left_ms = 5000 };

  (void) state;
  now = 1000 * HS_SEC;
  n_polls = n_ends = 0;
  ctx = talloc_new (NULL);
  hs_target_model_init (&model, now);
  announcement.started_ms = model.started_ms;
  runs = hs_runs_new (ctx, &options, 1000, &EFFECTS, NULL);
  hs_runs_target_announced (runs, &announcement, now);
  hs_runs_tick (runs, now);
  answer_poll ();
  hs_runs_launch (runs, 0, &order, &task, now, now);
  hs_runs_start_done (
      runs, last_run,
      hs_target_model_start (&model, &last_start, RUN_TIME, false, 1000, now),
      now);
  hs_runs_tick (runs, now);
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

/* Guards against a task that runs twice: the target's lease hadn't expired, as
   its clock stood still, when the agent took its run as over. */
static void
a_suspended_host_does_not_end_a_lease (void **state)
{
  (void) state;
  pass_in_silence (300 * HS_MSEC);
  suspend_host ();
  while (model.runs->len > 0)
    {
      pass_in_silence (10 * HS_MSEC);
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
  answer_poll ();
  suspend_host ();
  hs_runs_tick (runs, now);
  longest = now + HS_LEASE_MAX + HS_LEASE_MAX / 20;
  while (n_polls > 0)
    answer_poll ();
  assert_true (model.lease_until <= longest);
  /* The clock is known again, and the lease is renewed. */
  hs_runs_tick (runs, now);
  assert_true (polls[0].renews_lease);
  answer_poll ();
  assert_in_range (model.lease_until, now + HS_LEASE_MAX * 9 / 10, longest);
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_READY);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (a_suspended_host_does_not_end_a_lease),
    TEST (a_suspended_host_gets_no_longer_lease),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
