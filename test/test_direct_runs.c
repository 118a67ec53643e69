/* The runs on an agent's target, against a model of the target. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/liveness.h"
#include "direct/runs.h"
#include "target_model.h"

#define CAPACITY 4000
#define CPU 1000
#define FIRST_TOKEN 1000
#define POLLS_REMEMBERED 16

/* A start call that the module has made and the test has yet to carry out. */
typedef struct
{
  uint32_t run;
  HsTargetStart start;
} StartCall;

static void *ctx;
static HsRuns *runs;
static HsTargetModel model;
static HsTime now;
static StartCall starts[64];
static uint32_t n_starts;
static HsTargetPoll polls[64];
static uint32_t n_polls;
static HsRunKey stops[64];
static uint64_t stop_tokens[64];
static uint32_t n_stops;
static hsx_end ends[64];
static uint32_t n_ends;
static uint32_t n_offers;
static HsCrash last_crash;
static uint32_t n_crashes;

static void
on_start (void *arg, uint32_t run, const HsTargetStart *start)
{
  (void) arg;
  starts[n_starts].run = run;
  starts[n_starts++].start = *start;
}

static void
on_abandon_start (void *arg, uint32_t run)
{
  uint32_t i;

  (void) arg;
  for (i = 0; i < n_starts; i++)
    if (starts[i].run == run)
      starts[i].run = UINT32_MAX;
}

static void
on_stop (void *arg, const HsRunKey *key, uint64_t token)
{
  (void) arg;
  stops[n_stops] = *key;
  stop_tokens[n_stops++] = token;
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
  (void) key;
  (void) entry;
  ends[n_ends++] = *end;
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
  n_offers++;
}

static void
on_crash_settled (void *arg, const HsCrash *crash)
{
  (void) arg;
  last_crash = *crash;
}

static void
on_crashed (void *arg, const HsCrash *crash)
{
  (void) arg;
  last_crash = *crash;
  n_crashes++;
}

static const HsRunsEffects EFFECTS
    = { on_start,   on_abandon_start, on_stop,    on_poll,          on_ended,
        on_changed, on_offered,       on_crashed, on_crash_settled, NULL };

static void
free_list (HsTargetList *list)
{
  g_free (list->running);
  g_free (list->ends);
}

/* Answers the oldest poll. */
static void
answer_poll (void)
{
  HsTargetList list;
  HsTargetResult result;

  assert_true (n_polls > 0);
  result = hs_target_model_poll (&model, &polls[0], &list, now);
  hs_runs_poll_done (runs, polls[0].number, result,
                     result == HS_TARGET_OK ? &list : NULL, now);
  if (result == HS_TARGET_OK)
    free_list (&list);
  n_polls--;
  memmove (polls, polls + 1, n_polls * sizeof *polls);
}

static void
answer_polls (void)
{
  while (n_polls > 0)
    answer_poll ();
}

static void
lose_poll (void)
{
  assert_true (n_polls > 0);
  hs_runs_poll_done (runs, polls[0].number, HS_TARGET_UNANSWERED, NULL, now);
  n_polls--;
  memmove (polls, polls + 1, n_polls * sizeof *polls);
}

/* Carries out a start call on the model; the answer is up to the caller. */
static HsTargetResult
execute_start (StartCall *call)
{
  return hs_target_model_start (&model, &call->start, 200 * HS_MSEC, false, CPU,
                                now);
}

static StartCall
pop_start (void)
{
  StartCall call = starts[0];

  assert_true (n_starts > 0);
  n_starts--;
  memmove (starts, starts + 1, n_starts * sizeof *starts);
  return call;
}

/* No answer arrives to a start call, nor to its repetitions, which are lost. */
static void
lose_start (const StartCall *call)
{
  uint32_t others = n_starts;

  hs_runs_start_done (runs, call->run, HS_TARGET_UNANSWERED, now);
  while (n_starts > others)
    {
      n_starts--;
      hs_runs_start_done (runs, call->run, HS_TARGET_UNANSWERED, now);
    }
}

static void
answer_start (void)
{
  StartCall call = pop_start ();

  hs_runs_start_done (runs, call.run, execute_start (&call), now);
}

static void
advance (HsTime span)
{
  now += span;
  hs_target_model_advance (&model, now);
  hs_runs_tick (runs, now);
}

static HsAnnouncement
make_announcement (uint64_t sequence)
{
  HsAnnouncement announcement = { .name = "target1",
                                  .service = "s",
                                  .address = "127.0.0.1:1",
                                  .sequence = sequence };

  announcement.started_ms = model.started_ms;
  announcement.capacity = (hsx_room){ CAPACITY, 1000, 0 };
  return announcement;
}

static void
launch (const char *job, uint32_t index, uint64_t ref)
{
  hsx_launch_task task = { .ref = ref, .index = index, .attempt = 1 };
  hsx_launch order = { .job = (char *) job,
                       .customer = (char *) "c",
                       .spec = { 1, (char *) "x" },
                       .needs = { CPU, 10, 0 },
                       .expected_ms = 200,
                       .left_ms = 3000 };

  hs_runs_launch (runs, 0, &order, &task, now, now);
}

static void
start_agent (HsTime lease, uint64_t token)
{
  HsRunsOptions options = { .lease = lease, .stop_timeout = 50 * HS_MSEC };
  HsAnnouncement announcement = make_announcement (1);

  n_polls = 0;
  runs = hs_runs_new (ctx, &options, token, &EFFECTS, NULL);
  hs_runs_target_announced (runs, &announcement, now);
  advance (0);
  answer_poll ();
}

/* The end of the lease on the target's clock, in milliseconds. */
static HsTime
lease_end (void)
{
  return (model.lease_until - model.started_at) / HS_MSEC;
}

static int
setup (void **state)
{
  (void) state;
  now = 1000 * HS_SEC;
  n_starts = n_polls = n_stops = n_ends = n_crashes = n_offers = 0;
  ctx = talloc_new (NULL);
  hs_target_model_init (&model, now);
  start_agent (HS_SEC, FIRST_TOKEN);
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
the_end_of_a_task_is_reported (void **state)
{
  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  assert_int_equal (hs_runs_available (runs, 0, now).cpu_milli, CAPACITY - CPU);
  advance (200 * HS_MSEC);
  answer_poll ();
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].ref, 7);
  assert_int_equal (ends[0].how, HSX_END_DONE);
  assert_int_equal (hs_runs_available (runs, 0, now).cpu_milli, CAPACITY);
}

static void
launches_beyond_the_capacity_are_refused (void **state)
{
  uint32_t i;

  (void) state;
  for (i = 0; i < 5; i++)
    launch ("a", i, i);
  assert_int_equal (n_starts, 4);
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].how, HSX_END_REFUSED);
  assert_int_equal (ends[0].reason, HS_REFUSAL_RESOURCES);
}

/* Guards against a task that runs twice: any other refusal lets it be started
   on another target, while its run here goes on. */
static void
a_start_beside_a_run_of_the_task_is_refused_as_duplicate_first (void **state)
{
  hsx_launch_task task = { .ref = 9, .attempt = 2 };
  hsx_launch order = { .job = (char *) "a",
                       .customer = (char *) "c",
                       .spec = { 1, (char *) "x" },
                       .needs = { CPU, 10, 0 },
                       .left_ms = 3000 };
  uint32_t i;

  (void) state;
  for (i = 0; i < 4; i++)
    launch ("a", i, i);
  hs_runs_launch (runs, 0, &order, &task, now, now);
  hs_runs_launch (runs, 0, &order, &task, now - 5 * HS_SEC, now);
  order.left_ms = 0;
  hs_runs_launch (runs, 0, &order, &task, now, now);
  assert_int_equal (n_ends, 3);
  for (i = 0; i < n_ends; i++)
    assert_int_equal (ends[i].reason, HS_REFUSAL_DUPLICATE);
}

static void
an_unanswered_start_holds_its_resources_until_fenced (void **state)
{
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  lose_start (&call);
  assert_int_equal (hs_runs_available (runs, 0, now).cpu_milli, CAPACITY - CPU);
  advance (0);
  assert_true (polls[0].token > FIRST_TOKEN);
  assert_int_equal (polls[0].wait_ms, 0);
  answer_poll ();
  assert_int_equal (ends[0].how, HSX_END_REFUSED);
  assert_int_equal (ends[0].reason, HS_REFUSAL_UNANSWERED);
  assert_int_equal (hs_runs_available (runs, 0, now).cpu_milli, CAPACITY);
  /* The start arrives late and has no effect. */
  assert_int_equal (execute_start (&call), HS_TARGET_FENCED);
}

/* The target started the task and crashed before it answered. */
static void
an_unanswered_start_on_a_target_that_crashed_may_have_run (void **state)
{
  HsAnnouncement announcement;
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  execute_start (&call);
  lose_start (&call);
  hs_target_model_restart (&model, now);
  announcement = make_announcement (1);
  announcement.started_ms = ++model.started_ms;
  hs_runs_target_announced (runs, &announcement, now);
  advance (0);
  while (n_polls > 0)
    answer_poll ();
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].how, HSX_END_LAPSED);
  assert_int_equal (hs_runs_available (runs, 0, now).cpu_milli, CAPACITY);
}

/* Guards against starts that are given back to their entry, which waits for
   another offer, while every second call to a target gets no answer. */
static void
a_start_without_an_answer_is_repeated (void **state)
{
  StartCall lost;

  (void) state;
  launch ("a", 0, 7);
  lost = pop_start ();
  hs_runs_start_done (runs, lost.run, HS_TARGET_UNANSWERED, now);
  assert_int_equal (n_starts, 1);
  assert_int_equal (starts[0].start.key.attempt, lost.start.key.attempt);
  answer_start ();
  /* It arrives late and has no effect. */
  assert_int_equal (execute_start (&lost), HS_TARGET_FENCED);
  advance (200 * HS_MSEC);
  answer_polls ();
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].how, HSX_END_DONE);
}

static void
a_repeated_start_runs_once (void **state)
{
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  execute_start (&call);
  hs_runs_start_done (runs, call.run, HS_TARGET_UNANSWERED, now);
  answer_start ();
  assert_int_equal (model.cpu_milli, CPU);
  advance (200 * HS_MSEC);
  answer_polls ();
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].how, HSX_END_DONE);
}

/* Guards against a task that runs twice at a time: a target that carried out a
   start without answering refuses the repetition. */
static void
a_refused_repetition_does_not_end_the_run (void **state)
{
  static const HsTargetResult refusals[]
      = { HS_TARGET_FENCED,    HS_TARGET_OUTDATED,  HS_TARGET_LEASE_EXPIRED,
          HS_TARGET_FULL,      HS_TARGET_UNHEALTHY, HS_TARGET_INVALID,
          HS_TARGET_REPLACED,  HS_TARGET_UNSENT,    HS_TARGET_NO_LISTENER,
          HS_TARGET_UNANSWERED };
  StartCall call;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (refusals); i++)
    {
      teardown (state);
      setup (state);
      launch ("a", 0, 7);
      call = pop_start ();
      execute_start (&call);
      hs_runs_start_done (runs, call.run, HS_TARGET_UNANSWERED, now);
      call = pop_start ();
      hs_runs_start_done (runs, call.run, refusals[i], now);
      assert_int_equal (n_ends, 0);
      assert_int_equal (hs_runs_count (runs), 1);
      advance (200 * HS_MSEC);
      answer_polls ();
      assert_int_equal (n_ends, 1);
      assert_int_equal (ends[0].how, HSX_END_DONE);
    }
}

/* Guards against a task that crashes one incarnation of a target after the
   other, without an order of its entry. */
static void
a_start_is_not_repeated_on_another_incarnation (void **state)
{
  HsAnnouncement announcement;
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  execute_start (&call);
  hs_target_model_restart (&model, now);
  announcement = make_announcement (1);
  announcement.started_ms = ++model.started_ms;
  hs_runs_target_announced (runs, &announcement, now);
  advance (0);
  answer_polls ();
  hs_runs_start_done (runs, call.run, HS_TARGET_UNANSWERED, now);
  assert_int_equal (n_starts, 0);
  advance (0);
  answer_polls ();
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].how, HSX_END_LAPSED);
}

/* Guards against a task that runs twice at a time: a target that restarted
   under its name carried out a repeated start, before the end of the run that
   the first call had started was read from a list of the earlier incarnation.
 */
static void
an_end_on_an_earlier_incarnation_does_not_end_a_repeated_start (void **state)
{
  HsTargetPoll held;
  HsTargetList list;
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  hs_target_model_start (&model, &call.start, 20 * HS_MSEC, false, CPU, now);
  advance (0);
  assert_int_equal (n_polls, 1);
  held = polls[0];
  n_polls = 0;
  hs_target_model_receive_poll (&model, &held, now);
  now += 20 * HS_MSEC;
  hs_target_model_advance (&model, now);
  hs_target_model_write_list (&model, &list, now);
  assert_int_equal (list.n_ends, 1);
  list.ends[0].how = HSX_END_FAILED;
  hs_target_model_restart (&model, now);
  hs_runs_start_done (runs, call.run, HS_TARGET_UNANSWERED, now);
  call = pop_start ();
  assert_int_equal (execute_start (&call), HS_TARGET_OK);
  hs_runs_poll_done (runs, held.number, HS_TARGET_OK, &list, now);
  free_list (&list);
  assert_int_equal (model.runs->len, 1);
  assert_int_equal (n_ends, 0);
}

/* Guards against a task that runs twice at a time: an agent that was paused
   starts it after the caller has sent its job to another entry. */
static void
a_paused_agent_calls_no_start_again (void **state)
{
  static const HsTargetResult results[]
      = { HS_TARGET_UNANSWERED, HS_TARGET_FENCED, HS_TARGET_OUTDATED,
          HS_TARGET_LEASE_EXPIRED };
  StartCall call;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (results); i++)
    {
      teardown (state);
      setup (state);
      launch ("a", 0, 7);
      call = pop_start ();
      now += 700 * HS_MSEC;
      hs_runs_start_done (runs, call.run, results[i], now);
      assert_int_equal (n_starts, 0);
      advance (0);
      answer_polls ();
      assert_int_equal (n_ends, 1);
      assert_int_equal (ends[0].how, HSX_END_REFUSED);
    }
}

static void
a_start_to_be_stopped_is_not_repeated (void **state)
{
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  hs_runs_stop (runs, 0, 7, now, now);
  hs_runs_start_done (runs, call.run, HS_TARGET_UNANSWERED, now);
  assert_int_equal (n_starts, 0);
}

static void
an_unanswered_start_that_is_listed_is_adopted (void **state)
{
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  execute_start (&call);
  lose_start (&call);
  advance (0);
  answer_poll ();
  assert_int_equal (n_ends, 0);
  assert_int_equal (hs_runs_available (runs, 0, now).cpu_milli, CAPACITY - CPU);
  advance (200 * HS_MSEC);
  answer_poll ();
  assert_int_equal (ends[0].how, HSX_END_DONE);
}

static void
a_start_fenced_on_behalf_of_another_is_retried (void **state)
{
  StartCall lost;
  StartCall slow;

  (void) state;
  launch ("a", 0, 7);
  launch ("a", 1, 8);
  lost = pop_start ();
  slow = pop_start ();
  lose_start (&lost);
  advance (0);
  answer_poll ();
  assert_int_equal (execute_start (&slow), HS_TARGET_FENCED);
  hs_runs_start_done (runs, slow.run, HS_TARGET_FENCED, now);
  assert_int_equal (n_starts, 1);
  answer_start ();
  assert_int_equal (model.cpu_milli, CPU);
}

static void
runs_of_an_earlier_agent_incarnation_are_stopped_first (void **state)
{
  HsTargetStart unknown_start = { .key = { "old", 0, 0, 1 },
                                  .token = FIRST_TOKEN + 1,
                                  .lease_until_ms = 900 };
  HsRuns *restarted;
  HsRunsOptions options = { .lease = HS_SEC, .stop_timeout = 50 * HS_MSEC };
  HsAnnouncement announcement = make_announcement (9);

  (void) state;
  hs_target_model_start (&model, &unknown_start, 5 * HS_SEC, false, CPU, now);
  n_polls = 0;
  restarted = hs_runs_new (ctx, &options, FIRST_TOKEN + 100, &EFFECTS, NULL);
  runs = restarted;
  hs_runs_target_announced (runs, &announcement, now);
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_UNKNOWN);
  advance (0);
  answer_poll ();
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_UNKNOWN);
  launch ("a", 0, 1);
  assert_int_equal (ends[0].reason, HS_REFUSAL_NO_TARGET);
  assert_int_equal (n_stops, 1);
  hs_target_model_stop (&model, &stops[0], stop_tokens[0], now);
  advance (10 * HS_MSEC);
  answer_poll ();
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_READY);
}

/* Starts a task and restarts the target.
   @param back_ms step of its clock before the restart */
static void
restart_target_with_a_run (int64_t back_ms)
{
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  lose_poll ();
  now += 100 * HS_MSEC;
  hs_target_model_restart (&model, now);
  model.started_ms -= back_ms;
}

static void
a_restarted_target_has_lost_its_runs (void **state)
{
  HsAnnouncement announcement;

  (void) state;
  restart_target_with_a_run (0);
  announcement = make_announcement (1);
  assert_true (hs_runs_target_announced (runs, &announcement, now));
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_UNKNOWN);
  /* Only its list shows that the run is over. */
  assert_int_equal (n_ends, 0);
  advance (0);
  answer_poll ();
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].how, HSX_END_LAPSED);
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_READY);
}

/* Guards against a task that runs twice: an earlier incarnation of the target,
   whose clock was ahead, announces itself late. */
static void
a_late_announcement_with_a_later_start_ends_no_run (void **state)
{
  HsAnnouncement late = make_announcement (50);
  HsAnnouncement announcement;

  (void) state;
  restart_target_with_a_run (5000);
  advance (0);
  answer_poll ();
  announcement = make_announcement (1);
  assert_true (hs_runs_target_announced (runs, &announcement, now));
  n_ends = 0;
  launch ("b", 0, 8);
  answer_start ();
  hs_runs_target_announced (runs, &late, now);
  assert_int_equal (n_ends, 0);
  advance (0);
  answer_polls ();
  assert_int_equal (n_ends, 0);
  announcement.sequence++;
  assert_true (hs_runs_target_announced (runs, &announcement, now));
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_READY);
  advance (300 * HS_MSEC);
  answer_polls ();
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].how, HSX_END_DONE);
}

/* Guards against a task that runs twice: the target started again under its
   name, and what it said when it left before arrives now. */
static void
a_late_departure_ends_no_run (void **state)
{
  HsAnnouncement announcement = make_announcement (2);

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  hs_runs_target_left (runs, "target1", now);
  assert_int_equal (n_ends, 0);
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_UNKNOWN);
  advance (0);
  answer_polls ();
  assert_int_equal (n_ends, 0);
  assert_true (hs_runs_target_announced (runs, &announcement, now));
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_READY);
  advance (200 * HS_MSEC);
  answer_polls ();
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].how, HSX_END_DONE);
}

/* Guards against a task that runs twice: the refusal of a call to the earlier
   incarnation arrives when its successor runs a task. */
static void
a_late_refusal_by_another_incarnation_ends_no_run (void **state)
{
  HsAnnouncement announcement;
  uint32_t late;

  (void) state;
  advance (HS_SEC);
  late = polls[0].number;
  n_polls = 0;
  hs_target_model_restart (&model, now);
  announcement = make_announcement (1);
  g_strlcpy (announcement.name, "target2", sizeof announcement.name);
  assert_true (hs_runs_target_announced (runs, &announcement, now));
  advance (0);
  answer_polls ();
  launch ("a", 0, 7);
  answer_start ();
  hs_runs_poll_done (runs, late, HS_TARGET_REPLACED, NULL, now);
  assert_int_equal (n_ends, 0);
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_READY);
}

/* Guards against a task that runs twice: an entry takes a start as refused
   because of a list that is of an earlier incarnation or can't be read whole.
 */
static void
a_list_that_may_leave_out_a_run_resolves_no_start (void **state)
{
  HsTargetList list = { .started_ms = model.started_ms, .clock_ms = 1 };
  HsAnnouncement announcement;
  StartCall call;
  uint32_t earlier;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  lose_start (&call);
  advance (0);
  earlier = polls[0].number;
  n_polls = 0;
  now += 10 * HS_MSEC;
  hs_target_model_restart (&model, now);
  announcement = make_announcement (1);
  hs_runs_target_announced (runs, &announcement, now);
  hs_runs_poll_done (runs, earlier, HS_TARGET_OK, &list, now);
  assert_int_equal (n_ends, 0);
  list.started_ms = model.started_ms;
  list.n_unreadable = 1;
  advance (0);
  hs_runs_poll_done (runs, polls[0].number, HS_TARGET_OK, &list, now);
  assert_int_equal (n_ends, 0);
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_UNKNOWN);
}

/* Guards against a task that runs twice at a time: the list of a later poll may
   have been written before a start that the list of an earlier poll shows. */
static void
lists_that_overtake_each_other_end_no_run (void **state)
{
  HsTargetList earlier;
  HsTargetList later;
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  advance (0);
  call = pop_start ();
  lose_start (&call);
  advance (0);
  assert_int_equal (n_polls, 2);
  hs_target_model_receive_poll (&model, &polls[0], now);
  hs_target_model_receive_poll (&model, &polls[1], now);
  hs_target_model_write_list (&model, &later, now);
  launch ("b", 0, 8);
  call = pop_start ();
  assert_int_equal (execute_start (&call), HS_TARGET_OK);
  lose_start (&call);
  hs_target_model_write_list (&model, &earlier, now);
  hs_runs_poll_done (runs, polls[0].number, HS_TARGET_OK, &earlier, now);
  hs_runs_poll_done (runs, polls[1].number, HS_TARGET_OK, &later, now);
  free_list (&earlier);
  free_list (&later);
  n_polls = 0;
  /* The start that had been fenced off, and not the run. */
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].ref, 7);
  advance (200 * HS_MSEC);
  answer_polls ();
  assert_int_equal (n_ends, 2);
  assert_int_equal (ends[1].ref, 8);
  assert_int_equal (ends[1].how, HSX_END_DONE);
}

/* Guards against a task that runs twice at a time, of which nobody stops the
   first run: it ends while the poll after the list that left it out waits. */
static void
a_short_run_that_an_overtaken_list_leaves_out_ends_once (void **state)
{
  HsTargetList with_run;
  HsTargetList without_run;
  StartCall call;

  (void) state;
  launch ("other", 0, 6);
  answer_start ();
  advance (0);
  answer_polls ();
  advance (0);
  launch ("lost", 0, 7);
  call = pop_start ();
  lose_start (&call);
  advance (0);
  assert_int_equal (n_polls, 2);
  launch ("short", 0, 8);
  call = pop_start ();
  hs_target_model_receive_poll (&model, &polls[0], now);
  hs_target_model_receive_poll (&model, &polls[1], now);
  hs_target_model_write_list (&model, &without_run, now);
  assert_int_equal (hs_target_model_start (&model, &call.start, 25 * HS_MSEC,
                                           false, CPU, now),
                    HS_TARGET_OK);
  lose_start (&call);
  now += HS_MSEC;
  hs_target_model_write_list (&model, &with_run, now);
  hs_runs_poll_done (runs, polls[0].number, HS_TARGET_OK, &with_run, now);
  hs_runs_poll_done (runs, polls[1].number, HS_TARGET_OK, &without_run, now);
  free_list (&with_run);
  free_list (&without_run);
  n_polls = 0;
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].ref, 7);
  advance (0);
  assert_int_equal (n_polls, 1);
  assert_true (polls[0].wait_ms >= 24);
  now += 24 * HS_MSEC;
  hs_target_model_advance (&model, now);
  answer_polls ();
  assert_int_equal (n_stops, 0);
  assert_int_equal (n_ends, 2);
  assert_int_equal (ends[1].ref, 8);
  assert_int_equal (ends[1].how, HSX_END_DONE);
}

/* Guards against a task that runs twice: an old poll that was still in flight
   was taken for one with the token of a later poll, and resolved its start. */
static void
a_poll_in_flight_keeps_its_token_while_others_follow (void **state)
{
  HsTargetPoll held;
  HsTargetList list;
  StartCall call;
  uint32_t i;

  (void) state;
  launch ("a", 0, 0);
  answer_start ();
  advance (0);
  assert_int_equal (n_polls, 1);
  held = polls[0];
  n_polls = 0;
  hs_target_model_receive_poll (&model, &held, now);
  hs_target_model_write_list (&model, &list, now);
  for (i = 1; i <= 40; i++)
    {
      uint32_t n_before = n_ends;

      launch ("b", i, i);
      call = pop_start ();
      lose_start (&call);
      advance (0);
      if (n_polls == 0 || polls[0].number == held.number + POLLS_REMEMBERED)
        break;
      answer_polls ();
      assert_int_equal (n_ends, n_before + 1);
    }
  i = n_ends;
  hs_runs_poll_done (runs, held.number, HS_TARGET_OK, &list, now);
  free_list (&list);
  /* Its start is carried out now. */
  assert_int_equal (execute_start (&call), HS_TARGET_OK);
  assert_int_equal (n_ends, i);
}

/* Guards against a false crash: two polls were under way while no incarnation
   was known, and the answer of the earlier incarnation arrives last. */
static void
a_list_that_another_incarnation_overtook_is_ignored (void **state)
{
  HsTargetList earlier;
  HsTargetList later;
  HsAnnouncement announcement;
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  advance (0);
  call = pop_start ();
  hs_runs_poll_done (runs, polls[0].number, HS_TARGET_REPLACED, NULL, now);
  n_polls = 0;
  advance (0);
  hs_runs_start_done (runs, call.run, HS_TARGET_UNANSWERED, now);
  advance (0);
  assert_int_equal (n_polls, 2);
  hs_target_model_poll (&model, &polls[0], &earlier, now);
  now += 5 * HS_MSEC;
  hs_target_model_restart (&model, now);
  hs_target_model_poll (&model, &polls[1], &later, now);
  hs_runs_poll_done (runs, polls[1].number, HS_TARGET_OK, &later, now);
  announcement = make_announcement (1);
  hs_runs_target_announced (runs, &announcement, now);
  launch ("b", 0, 8);
  answer_start ();
  n_crashes = 0;
  hs_runs_poll_done (runs, polls[0].number, HS_TARGET_OK, &earlier, now);
  free_list (&earlier);
  free_list (&later);
  n_polls = 0;
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_READY);
  advance (5 * HS_MSEC);
  answer_polls ();
  assert_int_equal (n_crashes, 0);
}

/* Guards against a target that stays out of use for a second: its first list
   after refused connections wasn't taken as an answer. */
static void
the_first_list_after_refused_connections_makes_the_target_ready (void **state)
{
  HsRunsOptions options = { .lease = HS_SEC, .stop_timeout = 50 * HS_MSEC };
  HsAnnouncement announcement = make_announcement (1);

  (void) state;
  n_polls = 0;
  runs = hs_runs_new (ctx, &options, FIRST_TOKEN + 100, &EFFECTS, NULL);
  advance (0);
  hs_runs_poll_done (runs, polls[0].number, HS_TARGET_NO_LISTENER, NULL, now);
  n_polls = 0;
  hs_runs_target_announced (runs, &announcement, now);
  advance (50 * HS_MSEC);
  answer_poll ();
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_READY);
}

/* Guards against "has not run" being said of a task that ran: its end may be
   among those that a list leaves out. */
static void
a_list_that_leaves_out_ends_does_not_show_that_a_task_never_ran (void **state)
{
  HsTargetList list;
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  assert_int_equal (execute_start (&call), HS_TARGET_OK);
  lose_start (&call);
  advance (200 * HS_MSEC);
  hs_target_model_poll (&model, &polls[0], &list, now);
  assert_int_equal (list.n_ends, 1);
  list.n_ends = 0;
  list.ends_incomplete = true;
  hs_runs_poll_done (runs, polls[0].number, HS_TARGET_OK, &list, now);
  free_list (&list);
  n_polls = 0;
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].how, HSX_END_LAPSED);
}

/* Guards against "has not run" being said of a task that ran: nobody says in
   which order a list has its ends. */
static void
ends_are_read_in_whatever_order_a_list_has_them (void **state)
{
  HsTargetList list;
  HsListedEnd first;
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  assert_int_equal (execute_start (&call), HS_TARGET_OK);
  lose_start (&call);
  launch ("a", 1, 8);
  answer_start ();
  advance (200 * HS_MSEC);
  hs_target_model_poll (&model, &polls[0], &list, now);
  assert_int_equal (list.n_ends, 2);
  first = list.ends[0];
  list.ends[0] = list.ends[1];
  list.ends[1] = first;
  hs_runs_poll_done (runs, polls[0].number, HS_TARGET_OK, &list, now);
  free_list (&list);
  n_polls = 0;
  assert_int_equal (n_ends, 2);
  assert_int_equal (ends[0].how, HSX_END_DONE);
  assert_int_equal (ends[1].how, HSX_END_DONE);
}

/* Guards against "has not run" being said of a task that ran: an end that could
   not be read is acknowledged with those after it, and in no later list. */
static void
an_end_that_was_not_read_leaves_earlier_starts_in_doubt (void **state)
{
  HsTargetList list;
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  assert_int_equal (execute_start (&call), HS_TARGET_OK);
  launch ("a", 1, 8);
  answer_start ();
  advance (200 * HS_MSEC);
  hs_target_model_poll (&model, &polls[0], &list, now);
  assert_int_equal (list.n_ends, 2);
  list.ends[0] = list.ends[1];
  list.n_ends = 1;
  list.ends_incomplete = true;
  hs_runs_poll_done (runs, polls[0].number, HS_TARGET_OK, &list, now);
  free_list (&list);
  n_polls = 0;
  assert_int_equal (n_ends, 1);
  lose_start (&call);
  advance (0);
  answer_polls ();
  assert_int_equal (n_ends, 2);
  assert_int_equal (ends[1].ref, 7);
  assert_int_equal (ends[1].how, HSX_END_LAPSED);
}

static void
an_announcement_of_an_earlier_incarnation_is_ignored (void **state)
{
  HsAnnouncement late = make_announcement (50);
  HsAnnouncement announcement;

  (void) state;
  now += 100 * HS_MSEC;
  hs_target_model_restart (&model, now);
  announcement = make_announcement (1);
  assert_true (hs_runs_target_announced (runs, &announcement, now));
  late.leaving = true;
  assert_false (hs_runs_target_announced (runs, &late, now));
  assert_false (hs_runs_target (runs)->leaving);
}

/* The clock of the target's host stepped back by five seconds, and then the
   target started again, under its name. */
static void
a_target_restarted_after_its_clock_stepped_back_is_used_again (void **state)
{
  HsAnnouncement announcement;

  (void) state;
  restart_target_with_a_run (5000);
  advance (0);
  answer_poll ();
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].how, HSX_END_LAPSED);
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_UNKNOWN);
  announcement = make_announcement (1);
  assert_true (hs_runs_target_announced (runs, &announcement, now));
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_READY);
}

/* As above, but it started under another name and refuses calls that expect the
   earlier one. */
static void
a_target_renamed_after_its_clock_stepped_back_is_used_again (void **state)
{
  HsAnnouncement announcement;

  (void) state;
  advance (HS_SEC);
  hs_target_model_restart (&model, now);
  model.started_ms -= 5000;
  announcement = make_announcement (1);
  g_strlcpy (announcement.name, "target2", sizeof announcement.name);
  assert_false (hs_runs_target_announced (runs, &announcement, now));
  hs_runs_poll_done (runs, polls[0].number, HS_TARGET_REPLACED, NULL, now);
  n_polls = 0;
  announcement.sequence++;
  assert_true (hs_runs_target_announced (runs, &announcement, now));
  advance (0);
  answer_poll ();
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_READY);
}

/* An earlier incarnation answered a poll, and the answer arrives after those of
   its successor. */
static void
a_late_list_of_an_earlier_incarnation_is_ignored (void **state)
{
  HsTargetList late = { .started_ms = model.started_ms };
  HsAnnouncement announcement;
  uint32_t number;

  (void) state;
  advance (HS_SEC);
  number = polls[0].number;
  now += 10 * HS_MSEC;
  hs_target_model_restart (&model, now);
  announcement = make_announcement (1);
  hs_runs_target_announced (runs, &announcement, now);
  hs_runs_poll_done (runs, number, HS_TARGET_OK, &late, now);
  assert_true (hs_runs_target (runs) != NULL);
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_UNKNOWN);
}

static void
announcements_out_of_order_are_ignored (void **state)
{
  HsAnnouncement later = make_announcement (5);
  HsAnnouncement earlier = make_announcement (4);

  (void) state;
  later.leaving = true;
  assert_true (hs_runs_target_announced (runs, &later, now));
  assert_false (hs_runs_target_announced (runs, &earlier, now));
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_LEAVING);
}

static void
a_leaving_target_refuses_launches (void **state)
{
  HsAnnouncement announcement = make_announcement (2);

  (void) state;
  announcement.leaving = true;
  hs_runs_target_announced (runs, &announcement, now);
  launch ("a", 0, 1);
  assert_int_equal (n_starts, 0);
  assert_int_equal (ends[0].reason, HS_REFUSAL_LEAVING);
}

static void
a_stale_order_is_refused (void **state)
{
  hsx_launch_task task = { .ref = 1, .attempt = 1 };
  hsx_launch order
      = { .job = (char *) "a", .needs = { CPU, 10, 0 }, .left_ms = 3000 };

  (void) state;
  hs_runs_launch (runs, 0, &order, &task, now - 300 * HS_MSEC, now);
  assert_int_equal (n_starts, 0);
  assert_int_equal (ends[0].reason, HS_REFUSAL_STALE);
}

static void
tasks_of_a_lost_entry_are_stopped_without_a_report (void **state)
{
  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  hs_runs_entry_lost (runs, 0, now);
  assert_int_equal (n_stops, 1);
  hs_target_model_stop (&model, &stops[0], stop_tokens[0], now);
  advance (0);
  answer_poll ();
  assert_int_equal (n_ends, 0);
  assert_int_equal (hs_runs_count (runs), 0);
}

/* Guards against a task that runs twice: no stop reaches the target, and its
   caller sends the job again. */
static void
the_lease_is_not_renewed_while_the_run_of_a_lost_entry_goes_on (void **state)
{
  HsTime lease_until_ms;

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  lease_until_ms = lease_end ();
  hs_runs_entry_lost (runs, 0, now);
  advance (50 * HS_MSEC);
  answer_polls ();
  launch ("b", 0, 8);
  answer_start ();
  assert_int_equal (model.runs->len, 2);
  assert_int_equal (lease_end (), lease_until_ms);
  hs_target_model_stop (&model, &stops[0], stop_tokens[0], now);
  advance (20 * HS_MSEC);
  answer_polls ();
  assert_int_equal (hs_runs_count (runs), 1);
  advance (0);
  assert_true (polls[0].renews_lease);
}

/* Starts a task of 10 s, of which no stop is carried out. */
static void
start_long_run (void)
{
  start_agent (HS_LEASE_MAX, FIRST_TOKEN + 100);
  launch ("a", 0, 7);
  answer_start ();
  g_array_index (model.runs, HsModelRun, 0).run_time = 10 * HS_SEC;
}

static void
expect_end_before_caller_resends (HsTime job_over_at)
{
  while (n_ends == 0 && now - job_over_at < 5 * HS_SEC)
    {
      advance (10 * HS_MSEC);
      answer_polls ();
    }
  assert_int_equal (n_ends, 1);
  assert_int_equal (model.runs->len, 0);
  assert_true (now - job_over_at < HS_CALLER_RETRY_DELAY);
}

/* Guards against a task that runs twice, as above: its job was answered. */
static void
a_stop_that_is_not_carried_out_in_time_ends_the_lease (void **state)
{
  (void) state;
  start_long_run ();
  hs_runs_stop (runs, 0, 7, now, now);
  expect_end_before_caller_resends (now);
}

/* As above; the stop waited for the agent, which was paused. */
static void
a_stop_that_is_read_late_ends_the_lease_in_time (void **state)
{
  HsTime sent;

  (void) state;
  start_long_run ();
  advance (10 * HS_MSEC);
  answer_polls ();
  sent = now;
  advance (500 * HS_MSEC);
  answer_polls ();
  hs_runs_stop (runs, 0, 7, sent, now);
  expect_end_before_caller_resends (sent);
}

/* As above; the job's deadline passed while the agent was paused. */
static void
a_deadline_that_is_noticed_late_ends_the_lease_in_time (void **state)
{
  HsTime deadline = now + 3 * HS_SEC;

  (void) state;
  start_long_run ();
  while (now < deadline - 10 * HS_MSEC)
    {
      advance (10 * HS_MSEC);
      answer_polls ();
    }
  advance (500 * HS_MSEC);
  expect_end_before_caller_resends (deadline);
}

static void
a_stop_cancels_a_start_in_flight (void **state)
{
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  hs_runs_stop (runs, 0, 7, now, now);
  hs_target_model_stop (&model, &stops[0], stop_tokens[0], now);
  hs_runs_start_done (runs, call.run, execute_start (&call), now);
  assert_int_equal (model.runs->len, 0);
  assert_int_equal (ends[0].how, HSX_END_STOPPED);
  assert_int_equal (hs_runs_available (runs, 0, now).cpu_milli, CAPACITY);
}

static void
a_run_without_progress_is_stopped_as_stalled (void **state)
{
  StartCall call;
  int i;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  hs_runs_start_done (
      runs, call.run,
      hs_target_model_start (&model, &call.start, HS_SEC, true, CPU, now), now);
  for (i = 0; i < 10 && n_stops == 0; i++)
    {
      advance (60 * HS_MSEC);
      answer_poll ();
    }
  assert_in_range (i, 3, 8);
  hs_target_model_stop (&model, &stops[0], stop_tokens[0], now);
  advance (0);
  answer_poll ();
  assert_int_equal (ends[0].how, HSX_END_STALLED);
}

/* Starts a task with run time `run`; its entry expects `expected_ms` and
   considers the task slow above `slow_ms`. */
static void
start_run (const char *job,
           uint32_t index,
           uint32_t expected_ms,
           uint32_t slow_ms,
           HsTime run)
{
  hsx_launch_task task = { .ref = (uint64_t) job[0] * 100 + index,
                           .index = index,
                           .attempt = 1,
                           .slow_ms = slow_ms };
  hsx_launch order = { .job = (char *) job,
                       .customer = (char *) "c",
                       .spec = { 1, (char *) "x" },
                       .needs = { 10, 10, 0 },
                       .expected_ms = expected_ms,
                       .left_ms = 3000 };
  StartCall call;

  hs_runs_launch (runs, 0, &order, &task, now, now);
  call = pop_start ();
  hs_runs_start_done (
      runs, call.run,
      hs_target_model_start (&model, &call.start, run, false, 10, now), now);
}

/* Three runs take 600 ms, where 100 ms are expected and 300 ms are slow: the
   circuit breaker opens, and all three are stopped long before their ends. */
static void
runs_on_a_slow_target_are_stopped_as_slow (void **state)
{
  static const char *const jobs[] = { "a", "b", "c" };
  uint32_t i;
  HsTime began = now;

  (void) state;
  for (i = 0; i < 3; i++)
    start_run (jobs[i], 0, 100, 300, 600 * HS_MSEC);
  for (i = 0; i < 10 && n_stops < 3; i++)
    {
      advance (20 * HS_MSEC);
      answer_poll ();
    }
  assert_int_equal (n_stops, 3);
  assert_true (now - began <= 100 * HS_MSEC);
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_MUTE);
  for (i = 0; i < 3; i++)
    hs_target_model_stop (&model, &stops[i], stop_tokens[i], now);
  advance (0);
  answer_poll ();
  assert_int_equal (n_ends, 3);
  for (i = 0; i < 3; i++)
    assert_int_equal (ends[i].how, HSX_END_SLOW);
}

/* Lists that arrive late, as when the agent gets no processor time, must not
   change the progress rate. */
static void
delayed_lists_do_not_make_runs_slow (void **state)
{
  static const char *const jobs[] = { "a", "b", "c" };
  HsTargetList list;
  uint32_t i;

  (void) state;
  for (i = 0; i < 3; i++)
    start_run (jobs[i], 0, 60, 180, 90 * HS_MSEC);
  advance (10 * HS_MSEC);
  answer_poll ();
  advance (HS_MSEC);
  for (i = 0; i < 2; i++)
    {
      HsTargetResult result;

      assert_true (n_polls > 0);
      result = hs_target_model_poll (&model, &polls[0], &list, now);
      now += 25 * HS_MSEC;
      hs_runs_poll_done (runs, polls[0].number, result, &list, now);
      g_free (list.running);
      g_free (list.ends);
      n_polls--;
      memmove (polls, polls + 1, n_polls * sizeof *polls);
      hs_runs_tick (runs, now);
    }
  assert_int_equal (n_stops, 0);
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_READY);
}

/* Runs of 600 ms of two jobs: one has no slow threshold, so that only the other
   counts as slow, and a single job doesn't open the circuit breaker. */
static void
runs_without_a_slow_threshold_are_not_stopped (void **state)
{
  uint32_t i;

  (void) state;
  for (i = 0; i < 6; i++)
    start_run (i < 3 ? "a" : "b", i, 100, i < 3 ? 0 : 300, 600 * HS_MSEC);
  for (i = 0; i < 20; i++)
    {
      advance (20 * HS_MSEC);
      answer_poll ();
    }
  assert_int_equal (n_stops, 0);
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_READY);
}

static void
runs_of_an_unresponsive_target_lapse (void **state)
{
  HsTime began;

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  began = now;
  while (hs_runs_target_state (runs) != HSX_TARGET_MUTE
         && now - began < 300 * HS_MSEC)
    {
      advance (10 * HS_MSEC);
      if (n_polls > 0)
        lose_poll ();
    }
  assert_int_equal (hs_runs_target_state (runs), HSX_TARGET_MUTE);
  n_polls = 0;
  while (n_ends == 0 && now - began < 3 * HS_SEC)
    {
      advance (60 * HS_MSEC);
      if (n_polls > 0)
        {
          assert_false (polls[0].renews_lease);
          lose_poll ();
        }
    }
  assert_int_equal (ends[0].how, HSX_END_LAPSED);
  assert_int_equal (model.runs->len, 0);
}

static void
a_lost_poll_answer_delays_an_end_by_at_most_60_ms (void **state)
{
  HsTime since;
  HsTime sent;

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (150 * HS_MSEC);
  assert_int_equal (n_polls, 1);
  answer_poll ();
  advance (0);
  sent = now;
  /* The task ends while this poll waits, and the answer is lost. */
  since = now + polls[0].timeout_ms * HS_MSEC;
  advance (since - now);
  lose_poll ();
  advance (0);
  answer_poll ();
  assert_int_equal (n_ends, 1);
  assert_true (now - sent <= 60 * HS_MSEC);
}

static void
a_token_below_that_of_an_earlier_incarnation_is_raised (void **state)
{
  int i;

  (void) state;
  model.token = 3 * FIRST_TOKEN;
  advance (2 * HS_SEC);
  for (i = 0; i < 4 && n_polls > 0; i++)
    {
      answer_poll ();
      advance (0);
    }
  assert_true (model.token > 3 * FIRST_TOKEN);
  launch ("a", 0, 7);
  answer_start ();
  assert_int_equal (model.runs->len, 1);
}

static void
an_outdated_attempt_number_is_raised (void **state)
{
  HsRunKey past = { "a", 0, 0, 1 };

  (void) state;
  hs_target_model_stop (&model, &past, FIRST_TOKEN, now);
  launch ("a", 0, 7);
  answer_start ();
  assert_int_equal (n_starts, 1);
  assert_int_equal (starts[0].start.key.attempt, 2);
  answer_start ();
  assert_int_equal (model.runs->len, 1);
}

/* The target announces another capacity. */
static void
change_capacity (uint64_t sequence, uint32_t cpu_milli)
{
  HsAnnouncement announcement = make_announcement (sequence);

  announcement.capacity.cpu_milli = cpu_milli;
  hs_runs_target_announced (runs, &announcement, now);
}

static void
an_offer_made_before_the_capacity_shrank_does_not_exceed_it (void **state)
{
  hsx_want backlog = { .rank = 1, .needs = { CPU, 10, 0 }, .tasks = 4 };
  uint32_t i;

  (void) state;
  hs_runs_set_backlog (runs, 0, &backlog, now);
  advance (0);
  assert_int_equal (hs_runs_available (runs, 0, now).cpu_milli, CAPACITY);
  change_capacity (2, 2 * CPU);
  assert_int_equal (hs_runs_available (runs, 0, now).cpu_milli, 2 * CPU);
  for (i = 0; i < 4; i++)
    launch ("a", i, i);
  assert_int_equal (n_starts, 2);
  assert_int_equal (n_ends, 2);
  assert_int_equal (ends[0].reason, HS_REFUSAL_RESOURCES);
}

static void
runs_beyond_a_capacity_that_shrank_keep_out_new_ones (void **state)
{
  uint32_t i;

  (void) state;
  for (i = 0; i < 4; i++)
    {
      launch ("a", i, i);
      answer_start ();
    }
  change_capacity (2, 2 * CPU);
  hs_runs_stop (runs, 0, 0, now, now);
  advance (0);
  launch ("b", 0, 9);
  assert_int_equal (n_starts, 0);
  assert_int_equal (hs_runs_available (runs, 0, now).cpu_milli, 0);
  change_capacity (3, 2 * CAPACITY);
  assert_int_equal (hs_runs_available (runs, 0, now).cpu_milli,
                    2 * CAPACITY - 4 * CPU);
}

/* The result of the oldest poll, when nothing listens at the target. */
static void
refuse_poll (void)
{
  assert_true (n_polls > 0);
  hs_runs_poll_done (runs, polls[0].number, HS_TARGET_NO_LISTENER, NULL, now);
  n_polls--;
  memmove (polls, polls + 1, n_polls * sizeof *polls);
}

static void
a_crash_is_reported_with_what_ran (void **state)
{
  StartCall in_flight;

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (80 * HS_MSEC);
  answer_poll ();
  launch ("b", 1, 8);
  answer_start ();
  advance (10 * HS_MSEC);
  launch ("c", 0, 9);
  in_flight = pop_start ();
  lose_poll ();
  advance (0);
  refuse_poll ();
  advance (2 * HS_MSEC);
  hs_runs_start_done (runs, in_flight.run, HS_TARGET_NO_LISTENER, now);
  assert_int_equal (n_crashes, 0);
  advance (4 * HS_MSEC);
  assert_int_equal (n_crashes, 1);
  assert_int_equal (last_crash.number, 1);
  assert_int_equal (last_crash.n_tasks, 2);
  assert_string_equal (last_crash.tasks[0].key.job, "a");
  assert_string_equal (last_crash.tasks[0].customer, "c");
  assert_int_equal (last_crash.tasks[0].age, 90 * HS_MSEC);
  assert_string_equal (last_crash.tasks[1].key.job, "b");
  assert_int_equal (last_crash.tasks[1].key.index, 1);
  assert_int_equal (last_crash.tasks[1].age, 10 * HS_MSEC);
  /* Both are younger than half of what they take. */
  assert_true (last_crash.tasks[0].certain && last_crash.tasks[1].certain);
  advance (200 * HS_MSEC);
  assert_int_equal (n_crashes, 1);
}

static void
a_start_that_got_no_answer_belongs_to_the_crash (void **state)
{
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  hs_runs_start_done (runs, call.run, HS_TARGET_UNANSWERED, now);
  advance (0);
  refuse_poll ();
  advance (6 * HS_MSEC);
  assert_int_equal (n_crashes, 1);
  assert_int_equal (last_crash.n_tasks, 1);
  assert_false (last_crash.tasks[0].certain);
}

/* Polls without an answer until the target is unresponsive.
   @param fails_after how long a poll takes; 0: its time-out */
static uint32_t
count_polls_until_unresponsive (HsTime fails_after)
{
  uint32_t n = 0;
  HsTime step;

  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  while (hs_runs_target_state (runs) == HSX_TARGET_READY)
    {
      step = HS_MSEC;
      if (n_polls > 0)
        {
          n++;
          step = fails_after != 0 ? fails_after : polls[0].timeout_ms * HS_MSEC;
          now += step;
          lose_poll ();
          step = 0;
        }
      advance (step);
    }
  return n;
}

/* Guards against targets that are out of use, and ends that are seen late,
   because some of their answers are lost. */
static void
a_target_is_asked_often_before_it_counts_as_unresponsive (void **state)
{
  (void) state;
  assert_in_range (count_polls_until_unresponsive (0), 6, 8);
}

static void
connections_that_break_at_once_are_not_repeated_without_a_pause (void **state)
{
  (void) state;
  assert_in_range (count_polls_until_unresponsive (HS_MSEC), 6, 10);
}

/* Guards against a new connection for each run to be stopped and 110 ms while a
   target is down. */
static void
a_stop_waits_for_a_listener (void **state)
{
  uint32_t i;

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  launch ("b", 0, 8);
  answer_start ();
  advance (0);
  hs_runs_stop (runs, 0, 8, now, now);
  assert_int_equal (n_stops, 1);
  refuse_poll ();
  hs_runs_stop (runs, 0, 7, now, now);
  for (i = 0; i < 12; i++)
    {
      advance (10 * HS_MSEC);
      while (n_polls > 0)
        refuse_poll ();
    }
  assert_int_equal (n_stops, 1);
  while (n_polls == 0)
    advance (10 * HS_MSEC);
  answer_poll ();
  advance (0);
  assert_int_equal (n_stops, 3);
}

/* The target answers the start of a task that is to be stopped only in a list,
   as the first sign that it listens again. */
static void
a_stop_is_sent_when_a_list_shows_its_run (void **state)
{
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  execute_start (&call);
  advance (0);
  refuse_poll ();
  hs_runs_stop (runs, 0, 7, now, now);
  hs_runs_start_done (runs, call.run, HS_TARGET_UNANSWERED, now);
  assert_int_equal (n_stops, 0);
  while (n_polls == 0)
    advance (10 * HS_MSEC);
  answer_poll ();
  advance (0);
  assert_int_equal (n_stops, 1);
}

static void
a_restart_tells_of_a_crash_that_was_silent (void **state)
{
  HsAnnouncement announcement;

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  while (n_ends == 0)
    {
      while (n_polls > 0)
        lose_poll ();
      advance (20 * HS_MSEC);
    }
  while (n_polls > 0)
    lose_poll ();
  assert_int_equal (n_crashes, 0);
  hs_target_model_restart (&model, now);
  announcement = make_announcement (1);
  hs_runs_target_announced (runs, &announcement, now);
  assert_int_equal (n_crashes, 0);
  advance (0);
  answer_polls ();
  assert_int_equal (n_crashes, 1);
  assert_int_equal (last_crash.n_tasks, 1);
  assert_string_equal (last_crash.tasks[0].key.job, "a");
  /* Its lease had expired long before. */
  assert_false (last_crash.tasks[0].certain);
}

/* Guards against sound jobs that are answered as failed: the clock of a target
   doesn't tell when it started, as it may start anywhere. */
static void
a_task_that_may_have_ended_before_a_silent_crash_is_not_certain (void **state)
{
  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  while (n_polls > 0)
    lose_poll ();
  advance (150 * HS_MSEC);
  hs_target_model_restart (&model, now);
  model.clock_start_ms = 4300000;
  advance (20 * HS_MSEC);
  answer_poll ();
  assert_int_equal (n_crashes, 1);
  assert_int_equal (last_crash.n_tasks, 1);
  assert_false (last_crash.tasks[0].certain);
}

/* Guards against sound jobs that are answered as failed: the target restarted
   under its name before it was sent the start, and nobody has told so yet. */
static void
a_task_that_ran_on_the_next_incarnation_is_not_certain (void **state)
{
  (void) state;
  advance (10 * HS_MSEC);
  hs_target_model_restart (&model, now);
  launch ("a", 0, 7);
  answer_start ();
  advance (5 * HS_MSEC);
  answer_poll ();
  assert_int_equal (n_crashes, 1);
  assert_false (last_crash.tasks[0].certain);
  assert_int_equal (n_ends, 0);
}

/* Calls that found nobody don't renew the lease: the runs of a crashed target
   end at most a lease, its drift and the slack after the last one that may
   have. */
static void
refused_polls_do_not_delay_the_end_of_a_crashed_run (void **state)
{
  HsTime crashed_at;

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  crashed_at = now;
  lose_poll ();
  while (n_ends == 0)
    {
      while (n_polls > 0)
        refuse_poll ();
      advance (5 * HS_MSEC);
    }
  assert_int_equal (ends[0].how, HSX_END_LAPSED);
  assert_in_range (now - crashed_at, 1070 * HS_MSEC, 1080 * HS_MSEC);
}

static void
a_restart_that_a_poll_finds_first_tells_of_a_silent_crash (void **state)
{
  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  while (n_ends == 0)
    {
      while (n_polls > 0)
        lose_poll ();
      advance (20 * HS_MSEC);
    }
  hs_target_model_restart (&model, now);
  while (n_polls == 0)
    advance (20 * HS_MSEC);
  answer_poll ();
  assert_int_equal (n_crashes, 1);
  assert_int_equal (last_crash.n_tasks, 1);
  assert_true (last_crash.silent);
}

static void
a_restart_under_another_name_tells_of_a_crash (void **state)
{
  StartCall call;
  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  launch ("b", 0, 8);
  call = pop_start ();
  hs_runs_start_done (runs, call.run, HS_TARGET_UNANSWERED, now);
  hs_runs_poll_done (runs, polls[0].number, HS_TARGET_REPLACED, NULL, now);
  assert_int_equal (n_crashes, 1);
  assert_int_equal (ends[0].how, HSX_END_LAPSED);
  /* The second start is still unresolved; that is no other crash. */
  hs_runs_poll_done (runs, polls[0].number + 1, HS_TARGET_REPLACED, NULL, now);
  assert_int_equal (n_crashes, 1);
}

static void
a_target_that_left_has_not_crashed (void **state)
{
  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  hs_runs_target_left (runs, "target1", now);
  refuse_poll ();
  advance (10 * HS_MSEC);
  assert_int_equal (n_crashes, 0);
}

/* Nothing listened for a moment, as when the path to the target was cut. */
static void
a_crash_after_refusals_that_were_none_is_reported (void **state)
{
  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  refuse_poll ();
  advance (6 * HS_MSEC);
  assert_int_equal (n_crashes, 1);
  while (n_polls == 0)
    advance (20 * HS_MSEC);
  answer_poll ();
  advance (0);
  lose_poll ();
  advance (0);
  refuse_poll ();
  advance (6 * HS_MSEC);
  assert_int_equal (n_crashes, 2);
}

static void
a_target_that_answers_again_has_not_crashed (void **state)
{
  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  refuse_poll ();
  advance (HS_MSEC);
  answer_poll ();
  advance (50 * HS_MSEC);
  assert_int_equal (n_crashes, 0);
}

/* Guards against sound jobs that are answered as failed: a path that refused
   connections while its target worked on counted as a crash. */
static void
a_target_that_answers_after_refusals_takes_back_its_crash (void **state)
{
  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  refuse_poll ();
  advance (6 * HS_MSEC);
  assert_int_equal (n_crashes, 1);
  assert_int_equal (last_crash.stage, HSX_CRASH_SUSPECTED);
  while (n_polls == 0)
    advance (20 * HS_MSEC);
  answer_poll ();
  assert_int_equal (last_crash.number, 1);
  assert_int_equal (last_crash.stage, HSX_CRASH_WITHDRAWN);
}

static void
a_crash_is_certain_once_another_incarnation_answers (void **state)
{
  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  refuse_poll ();
  advance (6 * HS_MSEC);
  assert_int_equal (last_crash.stage, HSX_CRASH_SUSPECTED);
  hs_target_model_restart (&model, now);
  while (n_polls == 0)
    advance (20 * HS_MSEC);
  answer_poll ();
  assert_int_equal (n_crashes, 1);
  assert_int_equal (last_crash.number, 1);
  assert_int_equal (last_crash.stage, HSX_CRASH_CERTAIN);
  assert_true (last_crash.tasks[0].certain);
}

/* Guards against a task that takes down more targets than two: the poll that
   the next incarnation answered first had been sent before it announced itself,
   and took the crash back. */
static void
a_poll_that_waited_for_the_next_incarnation_takes_no_crash_back (void **state)
{
  HsAnnouncement announcement;

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  refuse_poll ();
  advance (6 * HS_MSEC);
  while (n_polls == 0)
    advance (20 * HS_MSEC);
  hs_target_model_restart (&model, now);
  announcement = make_announcement (1);
  hs_runs_target_announced (runs, &announcement, now);
  answer_poll ();
  assert_int_equal (last_crash.stage, HSX_CRASH_SUSPECTED);
  while (n_polls == 0)
    advance (20 * HS_MSEC);
  answer_polls ();
  assert_int_equal (n_crashes, 1);
  assert_int_equal (last_crash.stage, HSX_CRASH_CERTAIN);
}

/* It may have crashed long after that. */
static void
a_target_that_announced_itself_after_refusals_lived_then (void **state)
{
  HsAnnouncement announcement = make_announcement (2);

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  refuse_poll ();
  advance (6 * HS_MSEC);
  hs_runs_target_announced (runs, &announcement, now);
  assert_int_equal (last_crash.stage, HSX_CRASH_POSSIBLE);
  hs_target_model_restart (&model, now);
  while (n_polls == 0)
    advance (20 * HS_MSEC);
  answer_poll ();
  assert_int_equal (n_crashes, 1);
  assert_int_equal (last_crash.stage, HSX_CRASH_POSSIBLE);
}

static void
the_end_of_a_leaving_target_is_no_crash (void **state)
{
  HsAnnouncement announcement = make_announcement (2);

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  advance (0);
  announcement.leaving = true;
  hs_runs_target_announced (runs, &announcement, now);
  lose_poll ();
  advance (0);
  refuse_poll ();
  advance (10 * HS_MSEC);
  hs_target_model_restart (&model, now);
  announcement = make_announcement (1);
  hs_runs_target_announced (runs, &announcement, now);
  assert_int_equal (n_crashes, 0);
}

/* Guards against starts by orders that were sent before the evacuation, also on
   an offer, and against tasks that it stops. */
static void
an_evacuation_refuses_launches_and_lets_tasks_end (void **state)
{
  hsx_want backlog = { 1, { CPU, 10, 0 }, 1 };
  hsx_want needs_nothing = { 2, { 0, 0, 0 }, 1 };

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  hs_runs_set_backlog (runs, 0, &backlog, now);
  advance (0);
  assert_int_equal (n_offers, 1);
  hs_runs_set_evacuated (runs, true);
  assert_int_equal (hs_runs_available (runs, 0, now).cpu_milli, 0);
  launch ("b", 0, 8);
  launch ("a", 0, 9);
  assert_int_equal (n_starts, 0);
  assert_int_equal (ends[0].reason, HS_REFUSAL_EVACUATED);
  assert_int_equal (ends[1].reason, HS_REFUSAL_DUPLICATE);
  hs_runs_set_backlog (runs, 1, &needs_nothing, now);
  advance (200 * HS_MSEC);
  assert_int_equal (n_offers, 1);
  answer_polls ();
  assert_int_equal (n_stops, 0);
  assert_int_equal (n_ends, 3);
  assert_int_equal (ends[2].how, HSX_END_DONE);
  hs_runs_set_evacuated (runs, false);
  advance (0);
  assert_int_equal (n_offers, 3);
  launch ("b", 0, 8);
  assert_int_equal (n_starts, 1);
}

/* Guards against a task that runs twice: a refusal as evacuated lets it be
   started on another target, while a run that an earlier agent started here may
   go on. */
static void
an_evacuated_agent_that_has_not_read_the_list_refuses_as_unknown (void **state)
{
  HsRunsOptions options = { .lease = HS_SEC, .stop_timeout = 50 * HS_MSEC };
  HsAnnouncement announcement = make_announcement (2);

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  runs = hs_runs_new (ctx, &options, FIRST_TOKEN + 100, &EFFECTS, NULL);
  hs_runs_set_evacuated (runs, true);
  hs_runs_target_announced (runs, &announcement, now);
  launch ("a", 0, 8);
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].reason, HS_REFUSAL_NO_TARGET);
}

/* Guards against a start in an evacuated data centre by the repetition of one
   that got no answer. */
static void
an_evacuated_target_gets_no_start_again (void **state)
{
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  hs_runs_set_evacuated (runs, true);
  hs_runs_start_done (runs, call.run, HS_TARGET_UNANSWERED, now);
  assert_int_equal (n_starts, 0);
  advance (20 * HS_MSEC);
  answer_polls ();
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].how, HSX_END_REFUSED);
  assert_int_equal (ends[0].reason, HS_REFUSAL_UNANSWERED);
}

/* The same of one that the target certainly didn't carry out; this isn't a
   fault of the target. */
static void
an_evacuated_target_is_not_blamed_for_a_start_that_was_fenced (void **state)
{
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = pop_start ();
  hs_runs_set_evacuated (runs, true);
  hs_runs_start_done (runs, call.run, HS_TARGET_FENCED, now);
  assert_int_equal (n_starts, 0);
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].how, HSX_END_REFUSED);
  assert_int_equal (ends[0].reason, HS_REFUSAL_EVACUATED);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (the_end_of_a_task_is_reported),
    TEST (launches_beyond_the_capacity_are_refused),
    TEST (a_start_beside_a_run_of_the_task_is_refused_as_duplicate_first),
    TEST (an_unanswered_start_holds_its_resources_until_fenced),
    TEST (an_unanswered_start_on_a_target_that_crashed_may_have_run),
    TEST (a_start_without_an_answer_is_repeated),
    TEST (a_repeated_start_runs_once),
    TEST (a_refused_repetition_does_not_end_the_run),
    TEST (a_start_is_not_repeated_on_another_incarnation),
    TEST (an_end_on_an_earlier_incarnation_does_not_end_a_repeated_start),
    TEST (a_paused_agent_calls_no_start_again),
    TEST (a_start_to_be_stopped_is_not_repeated),
    TEST (an_unanswered_start_that_is_listed_is_adopted),
    TEST (a_start_fenced_on_behalf_of_another_is_retried),
    TEST (runs_of_an_earlier_agent_incarnation_are_stopped_first),
    TEST (a_restarted_target_has_lost_its_runs),
    TEST (a_late_announcement_with_a_later_start_ends_no_run),
    TEST (a_late_departure_ends_no_run),
    TEST (a_late_refusal_by_another_incarnation_ends_no_run),
    TEST (a_list_that_may_leave_out_a_run_resolves_no_start),
    TEST (lists_that_overtake_each_other_end_no_run),
    TEST (a_short_run_that_an_overtaken_list_leaves_out_ends_once),
    TEST (a_poll_in_flight_keeps_its_token_while_others_follow),
    TEST (a_list_that_another_incarnation_overtook_is_ignored),
    TEST (the_first_list_after_refused_connections_makes_the_target_ready),
    TEST (a_list_that_leaves_out_ends_does_not_show_that_a_task_never_ran),
    TEST (ends_are_read_in_whatever_order_a_list_has_them),
    TEST (an_end_that_was_not_read_leaves_earlier_starts_in_doubt),
    TEST (an_announcement_of_an_earlier_incarnation_is_ignored),
    TEST (a_target_restarted_after_its_clock_stepped_back_is_used_again),
    TEST (a_target_renamed_after_its_clock_stepped_back_is_used_again),
    TEST (a_late_list_of_an_earlier_incarnation_is_ignored),
    TEST (announcements_out_of_order_are_ignored),
    TEST (a_leaving_target_refuses_launches),
    TEST (an_evacuation_refuses_launches_and_lets_tasks_end),
    TEST (an_evacuated_agent_that_has_not_read_the_list_refuses_as_unknown),
    TEST (an_evacuated_target_gets_no_start_again),
    TEST (an_evacuated_target_is_not_blamed_for_a_start_that_was_fenced),
    TEST (a_stale_order_is_refused),
    TEST (tasks_of_a_lost_entry_are_stopped_without_a_report),
    TEST (the_lease_is_not_renewed_while_the_run_of_a_lost_entry_goes_on),
    TEST (a_stop_that_is_not_carried_out_in_time_ends_the_lease),
    TEST (a_stop_that_is_read_late_ends_the_lease_in_time),
    TEST (a_deadline_that_is_noticed_late_ends_the_lease_in_time),
    TEST (a_stop_cancels_a_start_in_flight),
    TEST (a_run_without_progress_is_stopped_as_stalled),
    TEST (runs_on_a_slow_target_are_stopped_as_slow),
    TEST (runs_without_a_slow_threshold_are_not_stopped),
    TEST (delayed_lists_do_not_make_runs_slow),
    TEST (runs_of_an_unresponsive_target_lapse),
    TEST (a_lost_poll_answer_delays_an_end_by_at_most_60_ms),
    TEST (a_token_below_that_of_an_earlier_incarnation_is_raised),
    TEST (an_outdated_attempt_number_is_raised),
    TEST (an_offer_made_before_the_capacity_shrank_does_not_exceed_it),
    TEST (runs_beyond_a_capacity_that_shrank_keep_out_new_ones),
    TEST (a_crash_is_reported_with_what_ran),
    TEST (a_start_that_got_no_answer_belongs_to_the_crash),
    TEST (a_target_is_asked_often_before_it_counts_as_unresponsive),
    TEST (connections_that_break_at_once_are_not_repeated_without_a_pause),
    TEST (a_stop_waits_for_a_listener),
    TEST (a_stop_is_sent_when_a_list_shows_its_run),
    TEST (a_restart_tells_of_a_crash_that_was_silent),
    TEST (a_task_that_may_have_ended_before_a_silent_crash_is_not_certain),
    TEST (a_task_that_ran_on_the_next_incarnation_is_not_certain),
    TEST (refused_polls_do_not_delay_the_end_of_a_crashed_run),
    TEST (a_restart_that_a_poll_finds_first_tells_of_a_silent_crash),
    TEST (a_crash_after_refusals_that_were_none_is_reported),
    TEST (a_restart_under_another_name_tells_of_a_crash),
    TEST (a_target_that_left_has_not_crashed),
    TEST (a_target_that_answers_again_has_not_crashed),
    TEST (a_target_that_answers_after_refusals_takes_back_its_crash),
    TEST (a_crash_is_certain_once_another_incarnation_answers),
    TEST (a_poll_that_waited_for_the_next_incarnation_takes_no_crash_back),
    TEST (a_target_that_announced_itself_after_refusals_lived_then),
    TEST (the_end_of_a_leaving_target_is_no_crash),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
