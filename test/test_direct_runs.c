/* What an agent grants, starts and settles, against a model of the target. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/runs.h"
#include "runner_model.h"

#define CAPACITY 4000
#define CPU 1000
#define FIRST_TOKEN 1000

/* Calls that the module has made and that the test lets through. */
typedef struct
{
  uint32_t run;
  HsTargetStart start;
} StartCall;

static void *ctx;
static HsRuns *runs;
static HsRunnerModel model;
static HsTime now;
static StartCall starts[64];
static uint32_t n_starts;
static HsTargetLook looks[64];
static uint32_t n_looks;
static HsRunKey stops[64];
static uint64_t stop_tokens[64];
static uint32_t n_stops;
static hsx_end ends[64];
static uint32_t n_ends;

static void
on_start (void *arg, uint32_t run, const HsTargetStart *start)
{
  (void) arg;
  starts[n_starts].run = run;
  starts[n_starts++].start = *start;
}

static void
on_forget (void *arg, uint32_t run)
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
on_look (void *arg, const HsTargetLook *look)
{
  (void) arg;
  looks[n_looks++] = *look;
}

static void
on_ended (void *arg, uint32_t peer, const HsRunKey *key, const hsx_end *end)
{
  (void) arg;
  (void) key;
  (void) peer;
  ends[n_ends++] = *end;
}

static void
on_changed (void *arg)
{
  (void) arg;
}

static void
on_offered (void *arg, uint32_t peer)
{
  (void) arg;
  (void) peer;
}

static const HsRunsEffects EFFECTS = { on_start, on_forget,  on_stop,   on_look,
                                       on_ended, on_changed, on_offered };

/* Answers the oldest look. */
static void
answer_look (void)
{
  HsTargetList list;
  HsTargetResult result;

  assert_true (n_looks > 0);
  result = hs_runner_model_look (&model, &looks[0], &list, now);
  hs_runs_looked (runs, looks[0].number, result,
                  result == HS_TARGET_OK ? &list : NULL, now);
  if (result == HS_TARGET_OK)
    {
      g_free (list.running);
      g_free (list.ends);
    }
  n_looks--;
  memmove (looks, looks + 1, n_looks * sizeof *looks);
}

static void
lose_look (void)
{
  assert_true (n_looks > 0);
  hs_runs_looked (runs, looks[0].number, HS_TARGET_UNANSWERED, NULL, now);
  n_looks--;
  memmove (looks, looks + 1, n_looks * sizeof *looks);
}

/* Carries out the oldest start, with or without an answer. */
static HsTargetResult
carry_out (StartCall *call)
{
  return hs_runner_model_start (&model, &call->start, 200 * HS_MSEC, false, CPU,
                                now);
}

static StartCall
take_start (void)
{
  StartCall call = starts[0];

  assert_true (n_starts > 0);
  n_starts--;
  memmove (starts, starts + 1, n_starts * sizeof *starts);
  return call;
}

static void
answer_start (void)
{
  StartCall call = take_start ();

  hs_runs_started (runs, call.run, carry_out (&call), now);
}

static void
pass (HsTime span)
{
  now += span;
  hs_runner_model_advance (&model, now);
  hs_runs_tick (runs, now);
}

static HsAnnouncement
announcement (uint64_t sequence)
{
  HsAnnouncement said = { .name = "target1",
                          .service = "s",
                          .address = "127.0.0.1:1",
                          .sequence = sequence };

  said.born_ms = model.born_ms;
  said.capacity = (hsx_room){ CAPACITY, 1000, 0 };
  return said;
}

static void
launch (const char *job, uint32_t index, uint64_t ref)
{
  hsx_launch_task task = { .ref = ref, .index = index, .attempt = 1 };
  hsx_launch order = { .job = (char *) job,
                       .spec = { 1, (char *) "x" },
                       .needs = { CPU, 10, 0 },
                       .expected_ms = 200,
                       .left_ms = 3000 };

  hs_runs_launch (runs, 0, &order, &task, now, now);
}

static int
setup (void **state)
{
  HsRunsOptions options = { .lease = HS_SEC, .stop_timeout = 50 * HS_MSEC };
  HsAnnouncement said;

  (void) state;
  now = 1000 * HS_SEC;
  n_starts = n_looks = n_stops = n_ends = 0;
  ctx = talloc_new (NULL);
  hs_runner_model_init (&model, now);
  runs = hs_runs_new (ctx, &options, FIRST_TOKEN, &EFFECTS, NULL);
  said = announcement (1);
  hs_runs_announce (runs, &said, now);
  pass (0);
  answer_look ();
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (ctx);
  hs_runner_model_clear (&model);
  return 0;
}

static void
a_task_runs_and_its_end_is_told (void **state)
{
  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  pass (0);
  assert_int_equal (hs_runs_free (runs, 0, now).cpu_milli, CAPACITY - CPU);
  pass (200 * HS_MSEC);
  answer_look ();
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].ref, 7);
  assert_int_equal (ends[0].how, HSX_END_DONE);
  assert_int_equal (hs_runs_free (runs, 0, now).cpu_milli, CAPACITY);
}

static void
nothing_is_granted_beyond_the_capacity (void **state)
{
  uint32_t i;

  (void) state;
  for (i = 0; i < 5; i++)
    launch ("a", i, i);
  assert_int_equal (n_starts, 4);
  assert_int_equal (n_ends, 1);
  assert_int_equal (ends[0].how, HSX_END_REFUSED);
  assert_int_equal (ends[0].reason, HS_REFUSAL_ROOM);
}

static void
a_start_without_an_answer_keeps_its_room_until_it_is_fenced (void **state)
{
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = take_start ();
  hs_runs_started (runs, call.run, HS_TARGET_UNANSWERED, now);
  assert_int_equal (hs_runs_free (runs, 0, now).cpu_milli, CAPACITY - CPU);
  pass (0);
  assert_true (looks[0].token > FIRST_TOKEN);
  assert_int_equal (looks[0].wait_ms, 0);
  answer_look ();
  assert_int_equal (ends[0].how, HSX_END_REFUSED);
  assert_int_equal (ends[0].reason, HS_REFUSAL_LOST);
  assert_int_equal (hs_runs_free (runs, 0, now).cpu_milli, CAPACITY);
  /* It comes late, and does nothing. */
  assert_int_equal (carry_out (&call), HS_TARGET_FENCED);
}

static void
a_start_that_was_done_without_an_answer_is_adopted (void **state)
{
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = take_start ();
  carry_out (&call);
  hs_runs_started (runs, call.run, HS_TARGET_UNANSWERED, now);
  pass (0);
  answer_look ();
  assert_int_equal (n_ends, 0);
  assert_int_equal (hs_runs_free (runs, 0, now).cpu_milli, CAPACITY - CPU);
  pass (200 * HS_MSEC);
  answer_look ();
  assert_int_equal (ends[0].how, HSX_END_DONE);
}

static void
a_start_fenced_off_by_another_is_called_again (void **state)
{
  StartCall lost;
  StartCall slow;

  (void) state;
  launch ("a", 0, 7);
  launch ("a", 1, 8);
  lost = take_start ();
  slow = take_start ();
  hs_runs_started (runs, lost.run, HS_TARGET_UNANSWERED, now);
  pass (0);
  answer_look ();
  assert_int_equal (carry_out (&slow), HS_TARGET_FENCED);
  hs_runs_started (runs, slow.run, HS_TARGET_FENCED, now);
  assert_int_equal (n_starts, 1);
  answer_start ();
  assert_int_equal (model.cpu_milli, CPU);
}

static void
runs_of_an_earlier_life_of_the_agent_are_stopped_first (void **state)
{
  HsTargetStart stray = { .key = { "old", 0, 0, 1 },
                          .token = FIRST_TOKEN + 1,
                          .lease_until_ms = 900 };
  HsRuns *reborn;
  HsRunsOptions options = { .lease = HS_SEC, .stop_timeout = 50 * HS_MSEC };
  HsAnnouncement said = announcement (9);

  (void) state;
  hs_runner_model_start (&model, &stray, 5 * HS_SEC, false, CPU, now);
  n_looks = 0;
  reborn = hs_runs_new (ctx, &options, FIRST_TOKEN + 100, &EFFECTS, NULL);
  runs = reborn;
  hs_runs_announce (runs, &said, now);
  assert_int_equal (hs_runs_state (runs), HSX_TARGET_UNKNOWN);
  pass (0);
  answer_look ();
  assert_int_equal (hs_runs_state (runs), HSX_TARGET_UNKNOWN);
  launch ("a", 0, 1);
  assert_int_equal (ends[0].reason, HS_REFUSAL_UNKNOWN);
  assert_int_equal (n_stops, 1);
  hs_runner_model_stop (&model, &stops[0], stop_tokens[0], now);
  pass (10 * HS_MSEC);
  answer_look ();
  assert_int_equal (hs_runs_state (runs), HSX_TARGET_READY);
}

static void
a_target_that_starts_again_has_lost_its_runs (void **state)
{
  HsAnnouncement said;

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  pass (0);
  lose_look ();
  now += 100 * HS_MSEC;
  hs_runner_model_reborn (&model, now);
  said = announcement (1);
  assert_true (hs_runs_announce (runs, &said, now));
  assert_int_equal (ends[0].how, HSX_END_LAPSED);
  assert_int_equal (hs_runs_state (runs), HSX_TARGET_UNKNOWN);
  pass (0);
  answer_look ();
  assert_int_equal (hs_runs_state (runs), HSX_TARGET_READY);
}

static void
a_late_word_of_an_earlier_life_changes_nothing (void **state)
{
  HsAnnouncement late = announcement (50);
  HsAnnouncement said;

  (void) state;
  now += 100 * HS_MSEC;
  hs_runner_model_reborn (&model, now);
  said = announcement (1);
  assert_true (hs_runs_announce (runs, &said, now));
  late.leaving = true;
  assert_false (hs_runs_announce (runs, &late, now));
  assert_false (hs_runs_target (runs)->leaving);
}

static void
words_out_of_order_are_passed_over (void **state)
{
  HsAnnouncement later = announcement (5);
  HsAnnouncement earlier = announcement (4);

  (void) state;
  later.leaving = true;
  assert_true (hs_runs_announce (runs, &later, now));
  assert_false (hs_runs_announce (runs, &earlier, now));
  assert_int_equal (hs_runs_state (runs), HSX_TARGET_LEAVING);
}

static void
a_leaving_target_gets_nothing_new (void **state)
{
  HsAnnouncement said = announcement (2);

  (void) state;
  said.leaving = true;
  hs_runs_announce (runs, &said, now);
  launch ("a", 0, 1);
  assert_int_equal (n_starts, 0);
  assert_int_equal (ends[0].reason, HS_REFUSAL_LEAVING);
}

static void
an_order_that_lay_in_a_buffer_is_refused (void **state)
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
tasks_of_a_lost_entry_are_stopped_and_not_told (void **state)
{
  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  hs_runs_peer_lost (runs, 0, now);
  assert_int_equal (n_stops, 1);
  hs_runner_model_stop (&model, &stops[0], stop_tokens[0], now);
  pass (0);
  answer_look ();
  assert_int_equal (n_ends, 0);
  assert_int_equal (hs_runs_count (runs), 0);
}

static void
a_stop_reaches_a_start_that_is_on_its_way (void **state)
{
  StartCall call;

  (void) state;
  launch ("a", 0, 7);
  call = take_start ();
  hs_runs_stop (runs, 0, 7, now);
  hs_runner_model_stop (&model, &stops[0], stop_tokens[0], now);
  hs_runs_started (runs, call.run, carry_out (&call), now);
  assert_int_equal (model.runs->len, 0);
  assert_int_equal (ends[0].how, HSX_END_STOPPED);
  assert_int_equal (hs_runs_free (runs, 0, now).cpu_milli, CAPACITY);
}

static void
a_run_that_stands_still_is_stopped_and_told (void **state)
{
  StartCall call;
  int i;

  (void) state;
  launch ("a", 0, 7);
  call = take_start ();
  hs_runs_started (
      runs, call.run,
      hs_runner_model_start (&model, &call.start, HS_SEC, true, CPU, now), now);
  for (i = 0; i < 10 && n_stops == 0; i++)
    {
      pass (60 * HS_MSEC);
      answer_look ();
    }
  assert_in_range (i, 3, 8);
  hs_runner_model_stop (&model, &stops[0], stop_tokens[0], now);
  pass (0);
  answer_look ();
  assert_int_equal (ends[0].how, HSX_END_STALLED);
}

/* Starts a task that takes `run`, where its entry expects `expected_ms` and
   takes more than `slow_ms` for slow. */
static void
run_paced (const char *job,
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
                       .spec = { 1, (char *) "x" },
                       .needs = { 10, 10, 0 },
                       .expected_ms = expected_ms,
                       .left_ms = 3000 };
  StartCall call;

  hs_runs_launch (runs, 0, &order, &task, now, now);
  call = take_start ();
  hs_runs_started (
      runs, call.run,
      hs_runner_model_start (&model, &call.start, run, false, 10, now), now);
}

/* Three runs of 600 ms, expected to take 100 ms and known to be slow after
   300: their target is left alone, and all are stopped long before their
   ends. */
static void
runs_of_a_target_that_is_slow_are_stopped_and_told (void **state)
{
  static const char *const jobs[] = { "a", "b", "c" };
  uint32_t i;
  HsTime began = now;

  (void) state;
  for (i = 0; i < 3; i++)
    run_paced (jobs[i], 0, 100, 300, 600 * HS_MSEC);
  for (i = 0; i < 10 && n_stops < 3; i++)
    {
      pass (20 * HS_MSEC);
      answer_look ();
    }
  assert_int_equal (n_stops, 3);
  assert_true (now - began <= 100 * HS_MSEC);
  assert_int_equal (hs_runs_state (runs), HSX_TARGET_MUTE);
  for (i = 0; i < 3; i++)
    hs_runner_model_stop (&model, &stops[i], stop_tokens[i], now);
  pass (0);
  answer_look ();
  assert_int_equal (n_ends, 3);
  for (i = 0; i < 3; i++)
    assert_int_equal (ends[i].how, HSX_END_SLOW);
}

/* Lists that come late, as when the agent gets no processor, show no pace. */
static void
late_lists_make_nothing_slow (void **state)
{
  static const char *const jobs[] = { "a", "b", "c" };
  HsTargetList list;
  uint32_t i;

  (void) state;
  for (i = 0; i < 3; i++)
    run_paced (jobs[i], 0, 60, 180, 90 * HS_MSEC);
  pass (10 * HS_MSEC);
  answer_look ();
  pass (HS_MSEC);
  for (i = 0; i < 2; i++)
    {
      HsTargetResult result;

      assert_true (n_looks > 0);
      result = hs_runner_model_look (&model, &looks[0], &list, now);
      now += 25 * HS_MSEC;
      hs_runs_looked (runs, looks[0].number, result, &list, now);
      g_free (list.running);
      g_free (list.ends);
      n_looks--;
      memmove (looks, looks + 1, n_looks * sizeof *looks);
      hs_runs_tick (runs, now);
    }
  assert_int_equal (n_stops, 0);
  assert_int_equal (hs_runs_state (runs), HSX_TARGET_READY);
}

/* The same runs, where nothing is known of how long they should take, and
   where only one job is slow. */
static void
runs_that_may_be_long_are_left_alone (void **state)
{
  uint32_t i;

  (void) state;
  for (i = 0; i < 6; i++)
    run_paced (i < 3 ? "a" : "b", i, 100, i < 3 ? 0 : 300, 600 * HS_MSEC);
  for (i = 0; i < 20; i++)
    {
      pass (20 * HS_MSEC);
      answer_look ();
    }
  assert_int_equal (n_stops, 0);
  assert_int_equal (hs_runs_state (runs), HSX_TARGET_READY);
}

static void
a_mute_target_is_granted_nothing_and_its_runs_lapse (void **state)
{
  HsTime muted;

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  muted = now;
  while (hs_runs_state (runs) != HSX_TARGET_MUTE && now - muted < 300 * HS_MSEC)
    {
      pass (10 * HS_MSEC);
      if (n_looks > 0)
        lose_look ();
    }
  assert_int_equal (hs_runs_state (runs), HSX_TARGET_MUTE);
  n_looks = 0;
  while (n_ends == 0 && now - muted < 3 * HS_SEC)
    {
      pass (60 * HS_MSEC);
      if (n_looks > 0)
        {
          assert_false (looks[0].renews);
          lose_look ();
        }
    }
  assert_int_equal (ends[0].how, HSX_END_LAPSED);
  assert_int_equal (model.runs->len, 0);
}

static void
one_lost_look_hides_an_end_for_a_short_time (void **state)
{
  HsTime since;
  HsTime sent;

  (void) state;
  launch ("a", 0, 7);
  answer_start ();
  pass (150 * HS_MSEC);
  assert_int_equal (n_looks, 1);
  answer_look ();
  pass (0);
  sent = now;
  /* The task ends while the answer of this look is on its way, and lost. */
  since = now + looks[0].timeout_ms * HS_MSEC;
  pass (since - now);
  lose_look ();
  pass (0);
  answer_look ();
  assert_int_equal (n_ends, 1);
  assert_true (now - sent <= 60 * HS_MSEC);
}

static void
a_token_below_that_of_an_earlier_life_is_raised (void **state)
{
  int i;

  (void) state;
  model.token = 3 * FIRST_TOKEN;
  pass (2 * HS_SEC);
  for (i = 0; i < 4 && n_looks > 0; i++)
    {
      answer_look ();
      pass (0);
    }
  assert_true (model.token > 3 * FIRST_TOKEN);
  launch ("a", 0, 7);
  answer_start ();
  assert_int_equal (model.runs->len, 1);
}

static void
an_attempt_that_was_there_before_is_raised (void **state)
{
  HsRunKey past = { "a", 0, 0, 1 };

  (void) state;
  hs_runner_model_stop (&model, &past, FIRST_TOKEN, now);
  launch ("a", 0, 7);
  answer_start ();
  assert_int_equal (n_starts, 1);
  assert_int_equal (starts[0].start.key.attempt, 2);
  answer_start ();
  assert_int_equal (model.runs->len, 1);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (a_task_runs_and_its_end_is_told),
    TEST (nothing_is_granted_beyond_the_capacity),
    TEST (a_start_without_an_answer_keeps_its_room_until_it_is_fenced),
    TEST (a_start_that_was_done_without_an_answer_is_adopted),
    TEST (a_start_fenced_off_by_another_is_called_again),
    TEST (runs_of_an_earlier_life_of_the_agent_are_stopped_first),
    TEST (a_target_that_starts_again_has_lost_its_runs),
    TEST (a_late_word_of_an_earlier_life_changes_nothing),
    TEST (words_out_of_order_are_passed_over),
    TEST (a_leaving_target_gets_nothing_new),
    TEST (an_order_that_lay_in_a_buffer_is_refused),
    TEST (tasks_of_a_lost_entry_are_stopped_and_not_told),
    TEST (a_stop_reaches_a_start_that_is_on_its_way),
    TEST (a_run_that_stands_still_is_stopped_and_told),
    TEST (runs_of_a_target_that_is_slow_are_stopped_and_told),
    TEST (runs_that_may_be_long_are_left_alone),
    TEST (late_lists_make_nothing_slow),
    TEST (a_mute_target_is_granted_nothing_and_its_runs_lapse),
    TEST (one_lost_look_hides_an_end_for_a_short_time),
    TEST (a_token_below_that_of_an_earlier_life_is_raised),
    TEST (an_attempt_that_was_there_before_is_raised),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
