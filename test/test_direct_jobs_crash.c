/* Tasks that crash their targets: how often an entry starts one, and where it
   serves customers whose tasks do so. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "jobs_fixture.h"
#include "policy/crash_counts.h"

#define N_TARGETS 10

static uint32_t n_crashes;

static void
report (uint32_t target,
        hsx_target_state state,
        uint32_t free_milli,
        HsTime now)
{
  char host[8];
  hsx_target_info info = {
    (char *) "t", (char *) "s", (char *) "r", host, { CAPACITY, 100000, 0 }
  };
  hsx_report_args args = { .state = state,
                           .orders_seen = orders_sent[target],
                           .free = { free_milli, 100000, 0 },
                           .info = &info };

  snprintf (host, sizeof host, "h%u", target);
  hs_targets_apply_report (targets, target, &args, now);
}

static void
submit (const char *customer, const char *id, HsTime now)
{
  HsSubmission job = { .request = 1,
                       .id = id,
                       .customer = customer,
                       .service = "s",
                       .spec = "x",
                       .spec_len = 1,
                       .n_tasks = 1,
                       .needs = { 1000, 10, 0 },
                       .declared_run_time = 200 * HS_MSEC,
                       .time_left = 3000 * HS_MSEC,
                       .max_failures = 2,
                       .slack_factor = 1.6,
                       .slack = 600 * HS_MSEC };

  hs_jobs_submit (jobs, &job, now);
}

/* The target crashes 10 ms after the start of a task. */
static hsx_crash
crash_of (uint32_t target,
          const char *customer,
          const char *job,
          hsx_crash_customer *suspect,
          hsx_crash_task *task,
          char *host)
{
  hsx_crash crash = { .agent = target + 1,
                      .stage = HSX_CRASH_CERTAIN,
                      .service = (char *) "s" };

  *suspect = (hsx_crash_customer){ (char *) customer, 10000, 1000 };
  *task = (hsx_crash_task){ (char *) job, (char *) customer, 0, TRUE };
  snprintf (host, 8, "h%u", target);
  crash.number = ++n_crashes;
  crash.host = host;
  crash.customers.customers_len = 1;
  crash.customers.customers_val = suspect;
  crash.tasks.tasks_len = 1;
  crash.tasks.tasks_val = task;
  return crash;
}

static void
crash_target_under (uint32_t target,
                    const char *customer,
                    const char *job,
                    bool certain,
                    HsTime now)
{
  hsx_crash_customer suspect;
  hsx_crash_task task;
  char host[8];
  hsx_crash crash = crash_of (target, customer, job, &suspect, &task, host);

  task.certain = certain;
  report (target, HSX_TARGET_MUTE, 0, now);
  assert_true (hs_jobs_target_crashed (jobs, &crash, now));
}

static void
crash_target (uint32_t target,
              const char *customer,
              const char *job,
              HsTime now)
{
  crash_target_under (target, customer, job, true, now);
}

static void
end_as_lapsed (uint32_t launch, HsTime now)
{
  hsx_end end = { .ref = launches[launch].task.ref, .how = HSX_END_LAPSED };

  hs_jobs_task_ended (jobs, launches[launch].target, &end, now);
  hs_jobs_dispatch (jobs, now);
}

static int
setup (void **state)
{
  uint32_t i;

  (void) state;
  n_crashes = 0;
  jobs_fixture_set_up ();
  for (i = 0; i < N_TARGETS; i++)
    {
      hs_targets_connect (targets, i + 1, "dc1", T0);
      report (i, HSX_TARGET_READY, CAPACITY, T0);
    }
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  jobs_fixture_tear_down ();
  return 0;
}

static void
a_task_under_which_two_targets_crashed_is_given_up (void **state)
{
  (void) state;
  submit ("c", "a", T0);
  crash_target (launches[0].target, "c", "a", T0 + 10 * HS_MSEC);
  assert_int_equal (n_answers, 0);
  end_as_lapsed (0, T0 + 600 * HS_MSEC);
  assert_int_equal (n_launches, 2);
  crash_target (launches[1].target, "c", "a", T0 + 620 * HS_MSEC);
  assert_int_equal (n_answers, 1);
  assert_int_equal (answers[0].kind, HS_ANSWER_FAILED);
  assert_int_equal (answers[0].reason, HS_REASON_CRASHES);
  hs_jobs_dispatch (jobs, T0 + 700 * HS_MSEC);
  assert_int_equal (n_launches, 2);
}

static void
a_task_that_ran_beside_one_crash_is_started_again (void **state)
{
  hsx_end end = { .how = HSX_END_DONE, .run_us = 200000 };

  (void) state;
  submit ("c", "a", T0);
  crash_target (launches[0].target, "c", "a", T0 + 10 * HS_MSEC);
  end_as_lapsed (0, T0 + 600 * HS_MSEC);
  end.ref = launches[1].task.ref;
  hs_jobs_task_ended (jobs, launches[1].target, &end, T0 + 800 * HS_MSEC);
  assert_int_equal (answers[0].kind, HS_ANSWER_COMPLETED);
}

/* The entry that ran the job was killed; this one has its caller's next
   attempt, and knows of the crashes from the agents and the other entries. */
static void
a_resubmitted_task_that_crashed_two_targets_is_not_started (void **state)
{
  (void) state;
  crash_target (3, "c", "a", T0);
  crash_target (4, "c", "a", T0 + 7 * HS_SEC);
  submit ("c", "a", T0 + 8 * HS_SEC);
  assert_int_equal (n_launches, 0);
  assert_int_equal (n_answers, 1);
  assert_int_equal (answers[0].kind, HS_ANSWER_FAILED);
  submit ("c", "b", T0 + 8 * HS_SEC);
  assert_int_equal (n_launches, 1);
}

/* Guards against sound jobs that are answered as failed: no target has said
   that it ran the task, whose starts had no answer. */
static void
a_job_fails_only_by_crashes_under_which_its_task_ran (void **state)
{
  (void) state;
  submit ("c", "a", T0);
  crash_target_under (launches[0].target, "c", "a", true, T0 + 10 * HS_MSEC);
  end_as_lapsed (0, T0 + 600 * HS_MSEC);
  crash_target_under (launches[1].target, "c", "a", false, T0 + 620 * HS_MSEC);
  assert_int_equal (n_answers, 1);
  assert_int_equal (answers[0].kind, HS_ANSWER_LOST);
  assert_int_equal (answers[0].reason, HS_REASON_CRASHES);
  hs_jobs_dispatch (jobs, T0 + 700 * HS_MSEC);
  assert_int_equal (n_launches, 2);
}

/* Reports a crash under @job in one stage after the other, as its agent learns
   more of it. */
static void
report_stage (uint32_t target,
              const char *job,
              uint32_t number,
              hsx_crash_stage stage,
              HsTime now)
{
  hsx_crash_customer suspect;
  hsx_crash_task task;
  char host[8];
  hsx_crash crash = crash_of (target, "c", job, &suspect, &task, host);

  crash.number = number;
  crash.stage = stage;
  assert_true (hs_jobs_target_crashed (jobs, &crash, now));
}

/* A job under whose task one target has crashed, and the path to a second one
   refuses connections. */
static void
submit_suspected_job (void)
{
  submit ("c", "a", T0);
  crash_target (launches[0].target, "c", "a", T0 + 10 * HS_MSEC);
  end_as_lapsed (0, T0 + 600 * HS_MSEC);
  report_stage (launches[1].target, "a", 100, HSX_CRASH_SUSPECTED,
                T0 + 620 * HS_MSEC);
}

/* Guards against sound jobs that are answered as failed: a refused connection
   counted as a certain crash. */
static void
a_job_fails_by_a_suspected_crash_only_once_it_is_certain (void **state)
{
  (void) state;
  submit_suspected_job ();
  assert_int_equal (n_answers, 0);
  end_as_lapsed (1, T0 + 1200 * HS_MSEC);
  assert_int_equal (n_launches, 2);
  assert_int_equal (hs_jobs_backlog (jobs, false, T0 + 1200 * HS_MSEC).tasks,
                    0);
  report_stage (launches[1].target, "a", 100, HSX_CRASH_CERTAIN,
                T0 + 1500 * HS_MSEC);
  assert_int_equal (n_answers, 1);
  assert_int_equal (answers[0].kind, HS_ANSWER_FAILED);
}

static void
a_job_goes_on_once_a_suspected_crash_is_withdrawn (void **state)
{
  hsx_end end = { .how = HSX_END_DONE, .run_us = 200000 };

  (void) state;
  submit_suspected_job ();
  end_as_lapsed (1, T0 + 1200 * HS_MSEC);
  assert_int_equal (n_launches, 2);
  report_stage (launches[1].target, "a", 100, HSX_CRASH_WITHDRAWN,
                T0 + 1300 * HS_MSEC);
  hs_jobs_dispatch (jobs, T0 + 1300 * HS_MSEC);
  assert_int_equal (n_launches, 3);
  end.ref = launches[2].task.ref;
  hs_jobs_task_ended (jobs, launches[2].target, &end, T0 + 1500 * HS_MSEC);
  assert_int_equal (n_answers, 1);
  assert_int_equal (answers[0].kind, HS_ANSWER_COMPLETED);
}

static void
a_job_is_lost_if_a_suspected_crash_stays_possible (void **state)
{
  (void) state;
  submit_suspected_job ();
  report_stage (launches[1].target, "a", 100, HSX_CRASH_POSSIBLE,
                T0 + 700 * HS_MSEC);
  assert_int_equal (n_answers, 1);
  assert_int_equal (answers[0].kind, HS_ANSWER_LOST);
  assert_int_equal (answers[0].reason, HS_REASON_CRASHES);
}

static void
a_job_waits_for_a_suspected_crash_no_longer_than_for_its_result (void **state)
{
  (void) state;
  submit_suspected_job ();
  end_as_lapsed (1, T0 + 1200 * HS_MSEC);
  assert_true (hs_jobs_tick (jobs, T0 + 1200 * HS_MSEC) <= T0 + 3 * HS_SEC);
  hs_jobs_tick (jobs, T0 + 3 * HS_SEC);
  assert_int_equal (n_answers, 1);
  assert_int_equal (answers[0].kind, HS_ANSWER_LOST);
  assert_int_equal (n_launches, 2);
  submit ("c", "a", T0 + 4 * HS_SEC);
  assert_int_equal (answers[1].kind, HS_ANSWER_REFUSED);
  report_stage (launches[1].target, "a", 100, HSX_CRASH_CERTAIN,
                T0 + 5 * HS_SEC);
  submit ("c", "a", T0 + 6 * HS_SEC);
  assert_int_equal (answers[2].kind, HS_ANSWER_FAILED);
  assert_int_equal (n_launches, 2);
}

/* A task that crashes its targets before they answer its start takes down no
   more of them, however often its job is sent again. */
static void
a_task_that_may_have_crashed_two_targets_is_not_started (void **state)
{
  HsTime now = T0;
  uint32_t i;

  (void) state;
  for (i = 0; i < 10; i++)
    {
      uint32_t before = n_launches;

      submit ("c", "a", now);
      if (n_launches > before)
        crash_target_under (launches[before].target, "c", "a", false, now);
      now += 100 * HS_MSEC;
      hs_jobs_abandon (jobs, 1, now);
      now += 5 * HS_SEC;
    }
  assert_int_equal (n_launches, HS_CRASHES_MAX);
  assert_int_equal (answers[n_answers - 1].kind, HS_ANSWER_REFUSED);
}

static void
a_crash_that_two_processes_report_counts_once (void **state)
{
  hsx_crash_customer suspect;
  hsx_crash_task task;
  char host[8];
  hsx_crash crash;

  (void) state;
  submit ("c", "a", T0);
  crash = crash_of (launches[0].target, "c", "a", &suspect, &task, host);
  assert_true (hs_jobs_target_crashed (jobs, &crash, T0));
  assert_false (hs_jobs_target_crashed (jobs, &crash, T0));
  assert_int_equal (n_answers, 0);
}

/* Two targets outside the reserve crash under jobs of "c". */
static void
contain_c (HsTime now)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < N_TARGETS && n < 2; i++)
    if (!hs_targets_get (targets, i)->reserve)
      {
        crash_target (i, "c", n == 0 ? "p" : "q", now + n * 100 * HS_MSEC);
        n++;
      }
}

static void
a_contained_customer_is_served_on_the_reserve_only (void **state)
{
  HsTime now = T0 + 200 * HS_MSEC;
  char id[8];
  uint32_t i;

  (void) state;
  contain_c (T0);
  for (i = 0; i < 4; i++)
    {
      snprintf (id, sizeof id, "c%u", i);
      submit ("c", id, now);
      snprintf (id, sizeof id, "d%u", i);
      submit ("d", id, now);
    }
  assert_int_equal (n_launches, 8);
  for (i = 0; i < n_launches; i++)
    assert_int_equal (hs_targets_get (targets, launches[i].target)->reserve,
                      launches[i].customer[0] == 'c');
}

static void
a_contained_customer_is_refused_at_once_while_its_targets_are_down (
    void **state)
{
  HsTime now = T0 + 200 * HS_MSEC;
  uint32_t i;

  (void) state;
  contain_c (T0);
  for (i = 0; i < N_TARGETS; i++)
    if (hs_targets_get (targets, i)->reserve)
      report (i, HSX_TARGET_MUTE, 0, now);
  submit ("c", "c1", now);
  assert_int_equal (n_answers, 1);
  assert_int_equal (answers[0].kind, HS_ANSWER_REFUSED);
  assert_int_equal (answers[0].reason, HS_REASON_CONTAINED);
  assert_true (answers[0].retry_after_ms >= 900);
  submit ("d", "d1", now);
  assert_int_equal (n_launches, 1);
}

static void
a_contained_customer_starts_nothing_while_a_third_of_the_targets_is_down (
    void **state)
{
  HsTime now = T0 + 200 * HS_MSEC;
  uint32_t n = 0;
  uint32_t i;

  (void) state;
  contain_c (T0);
  for (i = N_TARGETS; i > 0 && n < 2; i--)
    if (!hs_targets_get (targets, i - 1)->reserve)
      {
        crash_target (i - 1, "c", n == 0 ? "r" : "s", now);
        n++;
      }
  submit ("c", "c1", now);
  assert_int_equal (n_launches, 0);
  assert_int_equal (answers[0].reason, HS_REASON_CONTAINED);
  for (i = 0; i < N_TARGETS; i++)
    report (i, HSX_TARGET_READY, CAPACITY, now + HS_SEC);
  submit ("c", "c2", now + HS_SEC);
  assert_int_equal (n_launches, 1);
}

static void
what_waits_for_the_reserve_is_asked_of_its_agents_only (void **state)
{
  HsTime now = T0 + 200 * HS_MSEC;
  uint32_t i;

  (void) state;
  contain_c (T0);
  for (i = 0; i < N_TARGETS; i++)
    if (hs_targets_get (targets, i)->reserve)
      report (i, HSX_TARGET_READY, 0, now);
  submit ("c", "c1", now);
  assert_int_equal (n_launches, 0);
  assert_int_equal (hs_jobs_backlog (jobs, true, now).tasks, 1);
  assert_int_equal (hs_jobs_backlog (jobs, false, now).tasks, 0);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (a_task_under_which_two_targets_crashed_is_given_up),
    TEST (a_task_that_ran_beside_one_crash_is_started_again),
    TEST (a_resubmitted_task_that_crashed_two_targets_is_not_started),
    TEST (a_job_fails_only_by_crashes_under_which_its_task_ran),
    TEST (a_job_fails_by_a_suspected_crash_only_once_it_is_certain),
    TEST (a_job_goes_on_once_a_suspected_crash_is_withdrawn),
    TEST (a_job_is_lost_if_a_suspected_crash_stays_possible),
    TEST (a_job_waits_for_a_suspected_crash_no_longer_than_for_its_result),
    TEST (a_task_that_may_have_crashed_two_targets_is_not_started),
    TEST (a_crash_that_two_processes_report_counts_once),
    TEST (a_contained_customer_is_served_on_the_reserve_only),
    TEST (a_contained_customer_is_refused_at_once_while_its_targets_are_down),
    TEST (
        a_contained_customer_starts_nothing_while_a_third_of_the_targets_is_down),
    TEST (what_waits_for_the_reserve_is_asked_of_its_agents_only),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
