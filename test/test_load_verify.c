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

static Verdict
judge (const char *record, bool planned, const char *job)
{
  Verify *verify = verify_new ();
  Verdict verdict;

  verify_record (verify, record, planned);
  assert_true (verify_job (verify, job, PLANNED_ENTRIES, 1));
  verdict = verify_verdict (verify);
  verify_free (verify);
  return verdict;
}

static void
kept_promises_are_found_kept (void **state)
{
  Verdict verdict = judge (BOTH_RAN, true, JOB (ANSWERED, ""));

  (void) state;
  assert_true (verify_kept (&verdict));
  assert_int_equal (verdict.tasks, 2);
}

static void
second_starts_count (void **state)
{
  Verdict verdict = judge (BOTH_RAN "start c/i/1 30\nend c/i/1 40\n", false,
                           JOB (ANSWERED, ""));

  (void) state;
  assert_int_equal (verdict.started_twice, 1);
  assert_false (verify_kept (&verdict));
}

static void
starts_belie_not_run (void **state)
{
  Verdict verdict
      = judge ("start c/i/0 10\nend c/i/0 20\nstart c/i/1 10\n", false,
               JOB (SEND ("failed", "\"done\",\"not_run\""), ""));

  (void) state;
  assert_int_equal (verdict.false_not_run, 1);
}

static void
refusals_are_judged_by_time (void **state)
{
  Verdict later
      = judge (BOTH_RAN, false,
               JOB (ANSWERED, EVENT ("limit", "1", "9", "true", "true")));
  Verdict before
      = judge (BOTH_RAN, false,
               JOB (ANSWERED, EVENT ("limit", "1", "11", "true", "true")));
  Verdict other
      = judge (BOTH_RAN, false,
               JOB (ANSWERED, EVENT ("limit", "1", "11", "true", "false")));
  Verdict other_before
      = judge (BOTH_RAN, false,
               JOB (ANSWERED, EVENT ("limit", "11", "12", "true", "false")));

  (void) state;
  assert_int_equal (later.false_not_run, 0);
  assert_int_equal (before.false_not_run, 1);
  assert_int_equal (other.false_not_run, 0);
  assert_int_equal (other_before.false_not_run, 1);
}

static void
a_refused_job_has_no_start (void **state)
{
  Verdict verdict = judge (
      BOTH_RAN, false,
      JOB ("{\"state\":\"refused\",\"kind\":\"limit\",\"not_run\":true,"
           "\"tasks\":[]}",
           ""));

  (void) state;
  assert_int_equal (verdict.false_not_run, 1);
}

static void
planned_stops_cut_nothing (void **state)
{
  static const char record[] = "start c/i/0 10\nend c/i/0 20\n"
                               "start c/i/1 10\n";
  static const char job[]
      = JOB (SEND ("failed", "\"done\",\"may_have_run\""), "");
  Verdict planned = judge (record, true, job);
  Verdict killed = judge (record, false, job);
  Verdict request
      = judge (BOTH_RAN, false,
               JOB (ANSWERED, EVENT ("broken", "1", "9", "false", "true")));

  (void) state;
  assert_int_equal (planned.cut_by_planned_stop, 1);
  assert_int_equal (killed.cut_by_planned_stop, 0);
  assert_int_equal (request.cut_by_planned_stop, 1);
}

static void
lost_and_strange_tasks_count (void **state)
{
  Verdict lost = judge (BOTH_RAN, false, JOB (SEND ("unanswered", ""), ""));
  Verdict idle
      = judge ("start c/i/0 10\nend c/i/0 20\n", false, JOB (ANSWERED, ""));
  Verdict strange = judge (BOTH_RAN "start c/j/0 1\nend c/j/0 2\n", false,
                           JOB (ANSWERED, ""));

  (void) state;
  assert_int_equal (lost.unanswered, 1);
  assert_int_equal (idle.done_without_end, 1);
  assert_int_equal (strange.not_submitted, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (kept_promises_are_found_kept),
    cmocka_unit_test (second_starts_count),
    cmocka_unit_test (starts_belie_not_run),
    cmocka_unit_test (refusals_are_judged_by_time),
    cmocka_unit_test (a_refused_job_has_no_start),
    cmocka_unit_test (planned_stops_cut_nothing),
    cmocka_unit_test (lost_and_strange_tasks_count),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
