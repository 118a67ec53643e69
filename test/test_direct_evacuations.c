/* The set of evacuated data centres, and what it changes for the jobs of an
   entry. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "direct/jobs_private.h"
#include "direct/runs.h"
#include "jobs_fixture.h"
#include "platform/evacuation_key.h"

static void *ctx;
static HsEvacuations *set;
static char events[256]; /* "+dc1@5 -dc1@6 " */

static void
on_change (void *arg, const HsEvacuationChange *change)
{
  size_t len = strlen (events);

  (void) arg;
  snprintf (events + len, sizeof events - len, "%c%s@%d ",
            change->begun ? '+' : '-', change->data_centre,
            (int) change->revision);
}

static bool
change (const char *data_centre, int64_t revision, bool begun)
{
  HsEvacuationChange one = { data_centre, revision, begun };

  return hs_evacuations_apply (set, &one, 1);
}

static bool
replace (const char *one, const char *other, int64_t revision)
{
  const char *names[] = { one, other };

  return hs_evacuations_replace (set, names, (one != NULL) + (other != NULL),
                                 revision);
}

static bool
may_start (const char *data_centre)
{
  return hs_evacuations_may_start (set, data_centre);
}

static int
setup (void **state)
{
  (void) state;
  jobs_fixture_set_up ();
  events[0] = '\0';
  ctx = talloc_new (NULL);
  set = hs_evacuations_new (ctx, on_change, NULL);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  jobs_fixture_tear_down ();
  talloc_free (ctx);
  return 0;
}

/* Guards against starts by a process that has just come up during an
   evacuation. */
static void
nothing_may_start_before_the_set_is_known (void **state)
{
  (void) state;
  assert_false (may_start ("dc1"));
  assert_false (change ("dc2", 3, true));
  assert_false (may_start ("dc1"));
  assert_true (replace ("dc2", NULL, 5));
  assert_true (may_start ("dc1"));
  assert_false (may_start ("dc2"));
  assert_true (hs_evacuations_may_start (NULL, "dc2"));
}

/* Guards against the end of an evacuation by a message that was late. */
static void
an_older_set_replaces_no_newer_one (void **state)
{
  (void) state;
  assert_true (replace ("dc1", NULL, 9));
  assert_false (replace (NULL, NULL, 8));
  assert_false (replace ("dc2", NULL, 9));
  assert_false (change ("dc1", 9, false));
  assert_false (may_start ("dc1"));
  assert_true (may_start ("dc2"));
  assert_int_equal (hs_evacuations_revision (set), 9);
}

/* Guards against a receiver that keeps the state in between: the revision has
   to rise, so that the set is sent on, although it is the same. */
static void
a_key_deleted_and_set_again_at_once_is_sent_on (void **state)
{
  const HsEvacuationChange changes[]
      = { { "dc1", 6, false }, { "dc1", 7, true } };

  (void) state;
  replace ("dc1", NULL, 5);
  assert_true (hs_evacuations_apply (set, changes, 2));
  assert_false (may_start ("dc1"));
  assert_int_equal (hs_evacuations_revision (set), 7);
  assert_string_equal (events, "+dc1@5 -dc1@6 +dc1@7 ");
}

static void
overlapping_evacuations_end_one_by_one (void **state)
{
  /* Both in one transaction of the store. */
  const HsEvacuationChange both[] = { { "dc1", 6, true }, { "dc2", 6, true } };

  (void) state;
  replace (NULL, NULL, 5);
  assert_true (hs_evacuations_apply (set, both, 2));
  assert_false (may_start ("dc1"));
  assert_false (may_start ("dc2"));
  change ("dc1", 7, false);
  change ("dc3", 8, true);
  assert_true (may_start ("dc1"));
  assert_false (may_start ("dc2"));
  change ("dc2", 9, false);
  assert_true (may_start ("dc2"));
  assert_int_equal (hs_evacuations_count (set), 1);
}

/* Guards against evacuations that never end: the history with their ends was
   dropped. */
static void
what_a_new_read_leaves_out_has_ended (void **state)
{
  (void) state;
  replace ("dc1", "dc2", 5);
  events[0] = '\0';
  assert_true (replace ("dc2", "dc2", 9));
  assert_true (may_start ("dc1"));
  assert_string_equal (events, "-dc1@9 ");
  assert_int_equal (hs_evacuations_count (set), 1);
}

static void
key_names_are_checked (void **state)
{
  char longest[100] = HS_EVACUATION_PREFIX;

  (void) state;
  assert_string_equal (hs_evacuation_key_data_centre ("op/evacuate/z-1.B"),
                       "z-1.B");
  assert_null (hs_evacuation_key_data_centre ("op/evacuate/"));
  assert_null (hs_evacuation_key_data_centre ("op/evacuate/a/b"));
  assert_null (hs_evacuation_key_data_centre ("op/evacuate/a b"));
  assert_null (hs_evacuation_key_data_centre ("op/evacuate/a\nb"));
  assert_null (hs_evacuation_key_data_centre ("op/evacuate/\xff"));
  assert_false (hs_evacuation_key_matches ("op/evacuated"));
  memset (longest + strlen (longest), 'a', HSX_NAME_MAX);
  assert_non_null (hs_evacuation_key_data_centre (longest));
  longest[strlen (longest)] = 'a';
  assert_null (hs_evacuation_key_data_centre (longest));
}

/* The jobs of an entry with a target in dc1 and another one in dc2. */

static void
report (uint32_t target, uint32_t capacity_milli, uint32_t free_milli)
{
  hsx_target_info info = { (char *) "t",
                           (char *) "s",
                           (char *) "r",
                           (char *) (target == 0 ? "h0" : "h1"),
                           { capacity_milli, 100000, 0 } };
  hsx_report_args args = { .state = HSX_TARGET_READY,
                           .orders_seen = orders_sent[target],
                           .free = { free_milli, 100000, 0 },
                           .offer = true,
                           .info = &info };

  hs_targets_apply_report (targets, target, &args, T0);
}

static void
set_up_targets (uint32_t second_capacity)
{
  hs_targets_connect (targets, 1, "dc1", T0);
  hs_targets_connect (targets, 2, "dc2", T0);
  report (0, CAPACITY, CAPACITY);
  report (1, second_capacity, second_capacity);
  replace (NULL, NULL, 1);
  hs_jobs_set_evacuations (jobs, set);
}

static void
evacuate (const char *data_centre, int64_t revision, bool begun)
{
  change (data_centre, revision, begun);
  hs_jobs_set_evacuations (jobs, set);
}

static void
submit (const char *id, uint32_t n_tasks, uint32_t cpu_milli)
{
  HsSubmission job = { .request = 1,
                       .id = id,
                       .customer = "c",
                       .service = "s",
                       .spec = "x",
                       .spec_len = 1,
                       .n_tasks = n_tasks,
                       .needs = { cpu_milli, 10, 0 },
                       .declared_run_time = 200 * HS_MSEC,
                       .time_left = 1500 * HS_MSEC,
                       .max_failures = 2,
                       .slack_factor = 1.6,
                       .slack = 60 * HS_MSEC };

  hs_jobs_submit (jobs, &job, T0);
}

/* Guards against launches on an offer that was made before the evacuation. */
static void
an_evacuated_target_gets_nothing_although_it_made_an_offer (void **state)
{
  uint64_t capacity;
  uint64_t free_milli;
  uint32_t i;

  (void) state;
  set_up_targets (CAPACITY);
  evacuate ("dc1", 2, true);
  hs_targets_sum_capacity (targets, "s", &capacity, &free_milli, T0);
  assert_int_equal (capacity, CAPACITY);
  assert_int_equal (free_milli, CAPACITY);
  submit ("a", 8, 1000);
  assert_int_equal (n_launches, 4);
  for (i = 0; i < n_launches; i++)
    assert_int_equal (launches[i].target, 1);
  evacuate ("dc1", 3, false);
  hs_jobs_dispatch (jobs, T0);
  assert_int_equal (n_launches, 8);
}

/* Guards against a job that fails, or is called not refusable, because of a
   launch that an agent refused: nothing of it has run. */
static void
a_launch_refused_by_an_evacuation_runs_elsewhere (void **state)
{
  hsx_end end = { .how = HSX_END_REFUSED, .reason = HS_REFUSAL_EVACUATED };

  (void) state;
  set_up_targets (CAPACITY);
  submit ("a", 1, 1000);
  assert_int_equal (n_launches, 1);
  end.ref = launches[0].task.ref;
  hs_jobs_task_ended (jobs, launches[0].target, &end, T0);
  hs_jobs_dispatch (jobs, T0);
  assert_int_equal (n_launches, 2);
  assert_int_not_equal (launches[1].target, launches[0].target);
  end.ref = launches[1].task.ref;
  hs_jobs_task_ended (jobs, launches[1].target, &end, T0);
  evacuate ("dc1", 2, true);
  evacuate ("dc2", 3, true);
  hs_jobs_tick (jobs, T0);
  assert_int_equal (n_answers, 1);
  assert_int_equal (answers[0].kind, HS_ANSWER_REFUSED);
}

/* Guards against a job that is bound to an evacuated target by an earlier run
   there, which has ended: that refusal comes after the check for it. */
static void
a_refusal_by_an_evacuation_releases_a_task_from_its_target (void **state)
{
  hsx_end end = { .how = HSX_END_REFUSED, .reason = HS_REFUSAL_DUPLICATE };
  HsTime later = T0 + 60 * HS_MSEC;

  (void) state;
  set_up_targets (CAPACITY);
  submit ("a", 1, 1000);
  end.ref = launches[0].task.ref;
  hs_jobs_task_ended (jobs, launches[0].target, &end, T0);
  hs_jobs_dispatch (jobs, later);
  assert_int_equal (n_launches, 2);
  assert_int_equal (launches[1].target, launches[0].target);
  end.ref = launches[1].task.ref;
  end.reason = HS_REFUSAL_EVACUATED;
  hs_jobs_task_ended (jobs, launches[1].target, &end, later);
  hs_jobs_dispatch (jobs, later);
  assert_int_equal (n_launches, 3);
  assert_int_not_equal (launches[2].target, launches[0].target);
}

static void
with_all_targets_evacuated_jobs_are_refused_at_once (void **state)
{
  (void) state;
  set_up_targets (CAPACITY);
  submit ("runs", 8, 1000);
  submit ("waits", 1, 1000);
  assert_int_equal (n_launches, 8);
  assert_int_equal (n_answers, 0);
  evacuate ("dc1", 2, true);
  hs_jobs_tick (jobs, T0);
  assert_int_equal (n_answers, 0);
  evacuate ("dc2", 3, true);
  hs_jobs_tick (jobs, T0);
  submit ("comes", 1, 1000);
  assert_int_equal (n_answers, 2);
  assert_int_equal (answers[0].reason, HS_REASON_EVACUATED);
  assert_int_equal (answers[1].reason, HS_REASON_EVACUATED);
  assert_int_equal (answers[1].kind, HS_ANSWER_REFUSED);
  assert_true (answers[1].retry_after_ms > 0);
  assert_int_equal (hs_jobs_count (jobs), 1);
}

/* Guards against large tasks that wait for targets that may not be used. */
static void
a_task_that_only_evacuated_targets_could_hold_is_refused (void **state)
{
  (void) state;
  set_up_targets (1000);
  evacuate ("dc1", 2, true);
  submit ("large", 1, 2000);
  submit ("small", 1, 1000);
  assert_int_equal (n_answers, 1);
  assert_int_equal (answers[0].reason, HS_REASON_EVACUATED);
  submit ("too_large", 1, 5000);
  assert_int_equal (answers[1].reason, HS_REASON_NO_TARGET);
}

/* Guards against entries that place tasks before they know the evacuations, on
   targets that connect meanwhile. */
static void
a_target_that_connects_later_is_evacuated_too (void **state)
{
  (void) state;
  hs_jobs_set_evacuations (jobs, set);
  hs_targets_connect (targets, 1, "dc1", T0);
  report (0, CAPACITY, CAPACITY);
  assert_int_equal (hs_targets_free_resources (targets, 0, T0).cpu_milli, 0);
  replace ("dc2", NULL, 1);
  hs_jobs_set_evacuations (jobs, set);
  hs_targets_connect (targets, 2, "dc2", T0);
  report (1, CAPACITY, CAPACITY);
  assert_int_equal (hs_targets_free_resources (targets, 0, T0).cpu_milli,
                    CAPACITY);
  assert_int_equal (hs_targets_free_resources (targets, 1, T0).cpu_milli, 0);
}

/* Guards against contained customers that find no target: those reserved for
   them are evacuated. */
static void
another_target_takes_the_place_of_an_evacuated_reserve (void **state)
{
  const char *reserved;
  bool first;

  (void) state;
  set_up_targets (CAPACITY);
  first = hs_targets_get (targets, 0)->reserve;
  assert_int_not_equal (first, hs_targets_get (targets, 1)->reserve);
  reserved = first ? "dc1" : "dc2";
  evacuate (reserved, 2, true);
  assert_true (hs_targets_any_ready (targets, "s", HS_TARGETS_RESERVE));
  assert_false (hs_targets_any_ready (targets, "s", HS_TARGETS_COMMON));
  evacuate (reserved, 3, false);
  assert_int_equal (hs_targets_get (targets, 0)->reserve, first);
  assert_true (hs_targets_any_ready (targets, "s", HS_TARGETS_COMMON));
  evacuate (first ? "dc2" : "dc1", 4, true);
  assert_false (hs_targets_any_ready (targets, "s", HS_TARGETS_COMMON));
}

/* Guards against jobs that are accepted by the rate at which twice as many
   targets took tasks. */
static void
the_predicted_wait_doubles_with_half_of_the_targets (void **state)
{
  HsTime now;
  HsTime before;

  (void) state;
  set_up_targets (CAPACITY);
  submit ("runs", 8, 1000);
  submit ("waits", 1, 1000);
  for (now = T0; now < T0 + HS_SEC; now += 10 * HS_MSEC)
    hs_service_rate_add (&jobs->rate, 1000, now);
  before = hs_jobs_predict_wait (jobs, &jobs->table[1], now);
  assert_in_range (before, HS_MSEC, 100 * HS_MSEC);
  evacuate ("dc2", 2, true);
  assert_in_range (hs_jobs_predict_wait (jobs, &jobs->table[1], now),
                   2 * before - 1, 2 * before + 1);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (nothing_may_start_before_the_set_is_known),
    TEST (an_older_set_replaces_no_newer_one),
    TEST (a_key_deleted_and_set_again_at_once_is_sent_on),
    TEST (overlapping_evacuations_end_one_by_one),
    TEST (what_a_new_read_leaves_out_has_ended),
    TEST (key_names_are_checked),
    TEST (an_evacuated_target_gets_nothing_although_it_made_an_offer),
    TEST (a_launch_refused_by_an_evacuation_runs_elsewhere),
    TEST (a_refusal_by_an_evacuation_releases_a_task_from_its_target),
    TEST (with_all_targets_evacuated_jobs_are_refused_at_once),
    TEST (a_task_that_only_evacuated_targets_could_hold_is_refused),
    TEST (a_target_that_connects_later_is_evacuated_too),
    TEST (another_target_takes_the_place_of_an_evacuated_reserve),
    TEST (the_predicted_wait_doubles_with_half_of_the_targets),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
