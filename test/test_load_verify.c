#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "load/verify.h"

#define JOB(sends, events)                                                     \
  "{\"customer\":\"c\",\"id\":\"i\",\"run_ms\":[1,1],\"sends\":[" sends        \
  "],\"events\":[" events "]}"
#define SEND(state, tasks)                                                     \
  "{\"state\":\"" state "\",\"kind\":\"\",\"not_run\":false,"                  \
  "\"tasks\":[" tasks "]}"
#define ANSWERED SEND ("complete", "\"done\",\"done\"")
#define BOTH_RAN "start c/i/0 10\nend c/i/0 20\nstart c/i/1 10\nend c/i/1 20\n"
#define EVENT(kind, sent, ended, not_run, alone)                               \
  "{\"kind\":\"" kind "\",\"sent_us\":" sent ",\"ended_us\":" ended            \
  ",\"entry\":1,\"not_run\":" not_run ",\"alone\":" alone "}"

static const int PLANNED_ENTRIES[] = { 1 };

static VerifyCounts
verify (const char *record, bool planned, const char *job)
{
  Verify *verify = verify_new ();
  VerifyCounts counts;

  verify_add_record (verify, record, planned);
  assert_true (verify_add_job (verify, job, PLANNED_ENTRIES, 1));
  counts = verify_finish (verify);
  verify_free (verify);
  return counts;
}

static void
correct_results_pass (void **state)
{
  VerifyCounts counts = verify (BOTH_RAN, true, JOB (ANSWERED, ""));

  (void) state;
  assert_true (verify_passed (&counts));
  assert_int_equal (counts.tasks, 2);
}

static void
second_starts_are_counted (void **state)
{
  VerifyCounts counts = verify (BOTH_RAN "start c/i/1 30\nend c/i/1 40\n",
                                false, JOB (ANSWERED, ""));

  (void) state;
  assert_int_equal (counts.started_twice, 1);
  assert_false (verify_passed (&counts));
}

static void
starts_contradict_not_run (void **state)
{
  VerifyCounts counts
      = verify ("start c/i/0 10\nend c/i/0 20\nstart c/i/1 10\n", false,
                JOB (SEND ("failed", "\"done\",\"not_run\""), ""));

  (void) state;
  assert_int_equal (counts.false_not_run, 1);
}

static void
refusals_are_compared_by_time (void **state)
{
  VerifyCounts later
      = verify (BOTH_RAN, false,
                JOB (ANSWERED, EVENT ("limit", "1", "9", "true", "true")));
  VerifyCounts before
      = verify (BOTH_RAN, false,
                JOB (ANSWERED, EVENT ("limit", "1", "11", "true", "true")));
  VerifyCounts other
      = verify (BOTH_RAN, false,
                JOB (ANSWERED, EVENT ("limit", "1", "11", "true", "false")));
  VerifyCounts other_before
      = verify (BOTH_RAN, false,
                JOB (ANSWERED, EVENT ("limit", "11", "12", "true", "false")));

  (void) state;
  assert_int_equal (later.false_not_run, 0);
  assert_int_equal (before.false_not_run, 1);
  assert_int_equal (other.false_not_run, 0);
  assert_int_equal (other_before.false_not_run, 1);
}

static void
refused_jobs_must_not_start (void **state)
{
  VerifyCounts counts = verify (
      BOTH_RAN, false,
      JOB ("{\"state\":\"refused\",\"kind\":\"limit\",\"not_run\":true,"
           "\"tasks\":[]}",
           ""));

  (void) state;
  assert_int_equal (counts.false_not_run, 1);
}

static void
planned_stops_must_not_interrupt (void **state)
{
  static const char record[] = "start c/i/0 10\nend c/i/0 20\n"
                               "start c/i/1 10\n";
  static const char job[]
      = JOB (SEND ("failed", "\"done\",\"may_have_run\""), "");
  VerifyCounts planned = verify (record, true, job);
  VerifyCounts killed = verify (record, false, job);
  VerifyCounts request
      = verify (BOTH_RAN, false,
                JOB (ANSWERED, EVENT ("broken", "1", "9", "false", "true")));

  (void) state;
  assert_int_equal (planned.cut_by_planned_stop, 1);
  assert_int_equal (killed.cut_by_planned_stop, 0);
  assert_int_equal (request.cut_by_planned_stop, 1);
}

static void
lost_and_foreign_tasks_are_counted (void **state)
{
  VerifyCounts lost
      = verify (BOTH_RAN, false, JOB (SEND ("unanswered", ""), ""));
  VerifyCounts not_ended
      = verify ("start c/i/0 10\nend c/i/0 20\n", false, JOB (ANSWERED, ""));
  VerifyCounts foreign = verify (BOTH_RAN "start c/j/0 1\nend c/j/0 2\n", false,
                                 JOB (ANSWERED, ""));

  (void) state;
  assert_int_equal (lost.unanswered, 1);
  assert_int_equal (not_ended.done_without_end, 1);
  assert_int_equal (foreign.not_submitted, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (correct_results_pass),
    cmocka_unit_test (second_starts_are_counted),
    cmocka_unit_test (starts_contradict_not_run),
    cmocka_unit_test (refusals_are_compared_by_time),
    cmocka_unit_test (refused_jobs_must_not_start),
    cmocka_unit_test (planned_stops_must_not_interrupt),
    cmocka_unit_test (lost_and_foreign_tasks_are_counted),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
