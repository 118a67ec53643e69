/* Messages to and from the platform: what is sent, and which received messages
   are accepted or rejected. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "platform/announcement_server.h"
#include "platform/caller_job.h"
#include "platform/json.h"
#include "platform/store_wire.h"
#include "platform/target_wire.h"

static void *ctx;

static int
setup (void **state)
{
  (void) state;
  ctx = talloc_new (NULL);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (ctx);
  return 0;
}

/* Calls to the target. */

static void
a_task_name_is_written_and_read (void **state)
{
  HsRunKey key = { "5c0e7a21d94b36f8", 1, 17, 2 };
  HsRunKey parsed = { .attempt = 0 };
  char name[HS_TASK_NAME_SIZE];

  (void) state;
  hs_task_name_format (&key, name);
  assert_string_equal (name, "5c0e7a21d94b36f8.0.1.17");
  assert_true (hs_task_name_parse (name, &parsed));
  assert_string_equal (parsed.job, key.job);
  assert_int_equal (parsed.step, 1);
  assert_int_equal (parsed.index, 17);
}

static void
malformed_task_names_are_rejected (void **state)
{
  static const char *const names[]
      = { "",       ".",       "a",        "a.0",
          "a.0.1",  "a.0.1.",  "a.0.1.x",  "a.0.1.2.3",
          ".0.1.2", "a.1.1.2", "a.0.-1.2", "a.0.1.99999999999" };
  HsRunKey key;
  size_t i;

  (void) state;
  for (i = 0; i < sizeof names / sizeof *names; i++)
    assert_false (hs_task_name_parse (names[i], &key));
}

static void
a_start_carries_its_token_and_lease (void **state)
{
  HsTargetStart start = { .key = { "ab", 0, 3, 2 },
                          .spec = "a\"b",
                          .spec_len = 3,
                          .token = 1765000000000,
                          .lease_until_ms = 486000 };

  (void) state;
  assert_string_equal (hs_target_encode_start (ctx, &start),
                       "{\"task\":\"ab.0.0.3\",\"attempt\":2,"
                       "\"spec\":\"a\\\"b\",\"deadline_ms\":486000,"
                       "\"fencing_token\":1765000000000}");
}

static void
a_poll_renews_leases_only_if_asked (void **state)
{
  HsTargetPoll poll = { .token = 7, .acked = 57, .lease_until_ms = 486000 };

  (void) state;
  assert_string_equal (hs_target_encode_poll (ctx, &poll),
                       "{\"fencing_token\":7,\"acked\":57}");
  poll.renews_lease = true;
  poll.wait_ms = 60;
  assert_string_equal (hs_target_encode_poll (ctx, &poll),
                       "{\"fencing_token\":7,\"acked\":57,"
                       "\"deadline_ms\":486000,\"wait_ms\":60}");
}

static void
a_run_list_is_read (void **state)
{
  static const char text[]
      = "{\"clock_ms\":482113,\"born\":99,\"running\":"
        "[[\"ab.0.1.17\",2,\"\",41],[\"?\",1,\"\",0]],"
        "\"finished\":[[58,\"ab.0.1.9\",1,\"done\",\"\"],[59]]}";
  HsTargetList list;

  (void) state;
  assert_true (hs_target_decode_list (ctx, text, strlen (text), &list));
  assert_int_equal (list.clock_ms, 482113);
  assert_int_equal (list.started_ms, 99);
  assert_int_equal (list.n_running, 1);
  assert_int_equal (list.n_unreadable, 1);
  assert_int_equal (list.running[0].key.attempt, 2);
  assert_int_equal (list.running[0].percent, 41);
  assert_int_equal (list.n_ends, 1);
  assert_int_equal (list.ends[0].number, 58);
  assert_int_equal (list.ends[0].how, HSX_END_DONE);
}

/* Guards against ends that are passed over: an odd number counts as the last
   one that was read. */
static void
odd_rows_of_a_list_are_left_out (void **state)
{
  static const char text[]
      = "{\"clock_ms\":5,\"born\":77,\"running\":[[\"ab.0.0.1\",1,\"\",5],"
        "[\"ab.0.0.2\",1e300,\"\",5],[[[[]]]],[\"ab.0.0.3\",-1,\"\",5]],"
        "\"finished\":[[-1,\"ab.0.0.4\",1,\"done\",\"\"],"
        "[99999999999999999999,\"ab.0.0.5\",1,\"done\",\"\"],"
        "[8,\"ab.0.0.6\",1,\"done\",\"\"]]}";
  HsTargetList list;

  (void) state;
  assert_true (hs_target_decode_list (ctx, text, strlen (text), &list));
  assert_int_equal (list.n_running, 1);
  assert_int_equal (list.n_unreadable, 3);
  assert_int_equal (list.n_ends, 1);
  assert_int_equal (list.ends[0].number, 8);
  assert_true (list.ends_incomplete);
}

/* A target lists 500 ends at a time; there may be more. */
static void
a_full_list_of_ends_may_leave_others_out (void **state)
{
  GString *text
      = g_string_new ("{\"clock_ms\":5,\"born\":77,\"running\":[],"
                      "\"finished\":[[1,\"ab.0.0.0\",1,\"done\",\"\"]");
  HsTargetList list;
  uint32_t i;

  (void) state;
  for (i = 2; i <= 500; i++)
    {
      g_autofree char *whole = g_strconcat (text->str, "]}", NULL);

      if (i == 2 || i == 500)
        {
          assert_true (
              hs_target_decode_list (ctx, whole, strlen (whole), &list));
          assert_int_equal (list.n_ends, i - 1);
          assert_false (list.ends_incomplete);
        }
      g_string_append_printf (text, ",[%u,\"ab.0.0.0\",1,\"done\",\"\"]", i);
    }
  g_string_append (text, "]}");
  assert_true (hs_target_decode_list (ctx, text->str, text->len, &list));
  assert_true (list.ends_incomplete);
  g_string_free (text, TRUE);
}

static void
malformed_run_lists_are_rejected (void **state)
{
  static const char *const texts[]
      = { "",
          "{}",
          "[]",
          "{\"clock_ms\":1,\"running\":[]}",
          "{\"clock_ms\":\"x\",\"running\":[],\"finished\":[]}",
          "{\"running\":[],\"finished\":[]}" };
  HsTargetList list;
  size_t i;

  (void) state;
  for (i = 0; i < sizeof texts / sizeof *texts; i++)
    assert_false (
        hs_target_decode_list (ctx, texts[i], strlen (texts[i]), &list));
}

static void
refusals_are_mapped_to_results (void **state)
{
  static const char fence[] = "{\"clock_ms\":1,\"reason\":\"fence\"}";
  static const char late[] = "{\"reason\":\"late\"}";

  (void) state;
  assert_int_equal (hs_target_decode_result (200, "", 0), HS_TARGET_OK);
  assert_int_equal (hs_target_decode_result (409, fence, strlen (fence)),
                    HS_TARGET_FENCED);
  assert_int_equal (hs_target_decode_result (409, late, strlen (late)),
                    HS_TARGET_LEASE_EXPIRED);
  assert_int_equal (hs_target_decode_result (409, "", 0), HS_TARGET_INVALID);
  assert_int_equal (hs_target_decode_result (421, "", 0), HS_TARGET_REPLACED);
  assert_int_equal (hs_target_decode_result (503, "", 0), HS_TARGET_UNHEALTHY);
  assert_int_equal (hs_target_decode_result (400, "", 0), HS_TARGET_INVALID);
}

/* Guards against a task that runs twice: an error of the target is taken as a
   start that didn't happen. */
static void
other_statuses_tell_nothing_of_the_call (void **state)
{
  static const long statuses[] = { 204, 404, 500, 502, 504 };
  size_t i;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (statuses); i++)
    assert_int_equal (hs_target_decode_result (statuses[i], "", 0),
                      HS_TARGET_UNANSWERED);
}

/* Announcements of the target. */

static void
an_announcement_is_read (void **state)
{
  static const char text[]
      = "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"state\":"
        "\"draining\",\"sequence\":4,\"born\":77,\"capacity\":{\"cpu\":16000,"
        "\"mem_mb\":32768,\"gpu\":0},\"labels\":[\"a\",\"r1-3\"]}";
  HsAnnouncement announcement;

  (void) state;
  assert_null (
      hs_announcement_decode ("i-1", text, strlen (text), &announcement));
  assert_string_equal (announcement.name, "i-1");
  assert_string_equal (announcement.rack, "r1-3");
  assert_true (announcement.leaving);
  assert_int_equal (announcement.started_ms, 77);
  assert_int_equal (announcement.capacity.cpu_milli, 16000);
}

/* Guards against targets that are refused, or never used, for an odd value. */
static void
the_warm_up_of_a_target_is_read_and_bounded (void **state)
{
  static const struct
  {
    const char *member;
    HsTime left;
  } cases[] = {
    { "", 0 },
    { ",\"warmup_left_ms\":250", 250 * HS_MSEC },
    { ",\"warmup_left_ms\":-1", 0 },
    { ",\"warmup_left_ms\":\"x\"", 0 },
    { ",\"warmup_left_ms\":9e15", 600 * HS_SEC },
  };
  size_t i;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      HsAnnouncement announcement;
      g_autofree char *text = g_strdup_printf (
          "{\"service\":\"s\",\"address\":\"10.0.0.9:1\",\"state\":\"ready\","
          "\"sequence\":1,\"capacity\":{}%s}",
          cases[i].member);

      assert_null (
          hs_announcement_decode ("i-1", text, strlen (text), &announcement));
      assert_int_equal (announcement.warmup_left, cases[i].left);
    }
}

static void
malformed_announcements_are_rejected (void **state)
{
  static const char *const texts[]
      = { "",
          "{}",
          "\xff\xfe",
          "{\"service\":\"s\",\"address\":\"nowhere\",\"state\":\"ready\","
          "\"sequence\":1,\"capacity\":{}}",
          "{\"service\":\"s\",\"address\":\"10.0.0.9:1\",\"state\":\"odd\","
          "\"sequence\":1,\"capacity\":{}}",
          "{\"service\":\"s\",\"address\":\"10.0.0.9:1\",\"state\":\"ready\","
          "\"sequence\":\"1\",\"capacity\":{}}",
          "{\"service\":\"s\",\"address\":\"10.0.0.9:1\",\"state\":\"ready\","
          "\"sequence\":1,\"capacity\":{\"cpu\":-1}}",
          "{\"service\":\"s\",\"address\":\"10.0.0.9:65536\",\"state\":"
          "\"ready\",\"sequence\":1,\"capacity\":{}}",
          "{\"service\":\"s\",\"address\":\"10.0.0.9:1\",\"state\":\"ready\","
          "\"sequence\":1e400,\"capacity\":{}}",
          "{\"a\":[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]]]]]],"
          "\"service\":\"s\",\"address\":\"10.0.0.9:1\",\"state\":\"ready\","
          "\"sequence\":1,\"capacity\":{}}",
          "{\"service\":\"s\",\"address\":\"10.0.0.9:1\",\"state\":\"ready\","
          "\"sequence\":1}" };
  HsAnnouncement announcement;
  size_t i;

  (void) state;
  for (i = 0; i < sizeof texts / sizeof *texts; i++)
    assert_non_null (hs_announcement_decode ("i-1", texts[i], strlen (texts[i]),
                                             &announcement));
}

/* Job submissions. */

static const char *
decode_job (const char *text, HsCallerJob *job)
{
  struct json_object *root = hs_json_parse_value (text, strlen (text));
  const char *problem = hs_caller_job_decode (root, job);

  json_object_put (root);
  return problem;
}

static void
a_job_of_one_step_is_read (void **state)
{
  HsCallerJob job;

  (void) state;
  assert_null (decode_job (
      "{\"spec\":\"x\",\"best_effort\":true,\"steps\":[{\"count\":4,\"cpu\":"
      "1600,\"mem_mb\":64,\"estimate_ms\":900}]}",
      &job));
  assert_true (job.best_effort);
  assert_null (job.unsupported_feature);
  assert_int_equal (job.n_tasks, 4);
  assert_int_equal (job.needs.cpu_milli, 1600);
  assert_int_equal (job.estimate, 900 * HS_MSEC);
}

static void
unsupported_features_are_reported (void **state)
{
  HsCallerJob job;

  (void) state;
  assert_null (decode_job ("{\"steps\":[{\"count\":1},{\"count\":1}]}", &job));
  assert_non_null (job.unsupported_feature);
  assert_null (decode_job ("{\"steps\":[{\"count\":1,\"gang\":true}]}", &job));
  assert_string_equal (job.unsupported_feature, "gang");
  assert_null (decode_job (
      "{\"iterations\":3,\"steps\":[{\"count\":1,\"gang\":false}]}", &job));
  assert_string_equal (job.unsupported_feature, "iterations");
}

static void
malformed_jobs_are_rejected_with_a_reason (void **state)
{
  static const char *const texts[] = { "{}",
                                       "[]",
                                       "{\"steps\":[]}",
                                       "{\"steps\":[3]}",
                                       "{\"steps\":[{\"count\":0}]}",
                                       "{\"steps\":[{\"count\":391}]}",
                                       "{\"steps\":[{\"cpu\":\"many\"}]}",
                                       "{\"spec\":1,\"steps\":[{}]}" };
  HsCallerJob job;
  size_t i;

  (void) state;
  for (i = 0; i < sizeof texts / sizeof *texts; i++)
    assert_non_null (decode_job (texts[i], &job));
}

/* The store. */

static void
a_conditional_write_is_encoded (void **state)
{
  HsStoreCompare compare = { "my/leader", 0 };
  HsStoreOp put = { HS_STORE_PUT, "my/leader", "node-1", 77120 };
  HsStoreTxn txn = { 1, &compare, 1, &put, 0, NULL };
  HsStoreHttpRequest message = hs_store_platform_txn (ctx, &txn);

  (void) state;
  assert_string_equal (
      message.body,
      "{\"expected_revision\":[{\"key\":\"my\\/leader\",\"revision\":0}],"
      "\"writes\":[{\"key\":\"my\\/leader\",\"value\":\"bm9kZS0x\","
      "\"lease\":77120}],\"delete\":[]}");
}

static void
a_range_reply_is_read (void **state)
{
  static const char text[]
      = "{\"items\":[{\"key\":\"k\",\"value\":\"bm9kZS0x\",\"revision\":412,"
        "\"created\":400,\"lease\":5}],\"has_more\":false,"
        "\"current_rev\":530}";
  HsStoreReply reply = { 0 };

  (void) state;
  assert_int_equal (hs_store_platform_decode_reply (ctx, HS_STORE_CALL_RANGE,
                                                    200, text, strlen (text),
                                                    &reply),
                    HS_STORE_OK);
  assert_int_equal (reply.revision, 530);
  assert_int_equal (reply.n_kvs, 1);
  assert_string_equal (reply.kvs[0].value, "node-1");
  assert_int_equal (reply.kvs[0].mod_revision, 412);
}

/* Guards against a list that is no longer followed because of one odd record.
 */
static void
odd_records_hold_up_no_others (void **state)
{
  static const char items[]
      = "{\"items\":[{\"key\":\"a\",\"value\":\"eA==\",\"revision\":1e300},"
        "{\"key\":[[[]]],\"value\":\"eA==\"},7,"
        "{\"key\":\"b\",\"value\":\"eA==\",\"revision\":5}],"
        "\"current_rev\":530}";
  static const char events[]
      = "{\"events\":[{\"key\":\"a\",\"value\":\"eA==\",\"revision\":-1},"
        "{\"key\":\"b\",\"value\":\"eA==\",\"revision\":5}],"
        "\"current_rev\":530}";
  HsStoreReply reply = { 0 };
  HsStoreWatchResponse line = { 0 };

  (void) state;
  assert_int_equal (hs_store_platform_decode_reply (ctx, HS_STORE_CALL_RANGE,
                                                    200, items, strlen (items),
                                                    &reply),
                    HS_STORE_OK);
  assert_int_equal (reply.n_kvs, 1);
  assert_int_equal (reply.n_unreadable, 3);
  assert_string_equal (reply.kvs[0].key, "b");
  assert_true (hs_store_platform_decode_events (ctx, 200, events,
                                                strlen (events), &line));
  assert_int_equal (line.n_events, 1);
  assert_string_equal (line.events[0].kv.key, "b");
  assert_int_equal (line.revision, 530);
}

static void
reply_status_tells_whether_a_write_was_applied (void **state)
{
  static const char items[] = "{\"items\":[{\"key\":\"k\",\"revision\":0}]}";
  HsStoreReply reply = { 0 };

  (void) state;
  assert_int_equal (hs_store_platform_decode_reply (ctx, HS_STORE_CALL_TXN, 503,
                                                    "", 0, &reply),
                    HS_STORE_NOT_APPLIED);
  assert_int_equal (hs_store_platform_decode_reply (ctx, HS_STORE_CALL_TXN, 404,
                                                    "", 0, &reply),
                    HS_STORE_NOT_APPLIED);
  assert_int_equal (hs_store_platform_decode_reply (ctx, HS_STORE_CALL_TXN, 500,
                                                    "", 0, &reply),
                    HS_STORE_UNKNOWN);
  assert_int_equal (hs_store_platform_decode_reply (ctx, HS_STORE_CALL_TXN, 412,
                                                    items, strlen (items),
                                                    &reply),
                    HS_STORE_OK);
  assert_false (reply.succeeded);
  assert_int_equal (hs_store_platform_decode_reply (
                        ctx, HS_STORE_CALL_KEEPALIVE, 404, "", 0, &reply),
                    HS_STORE_OK);
  assert_int_equal (reply.ttl_s, 0);
}

static void
watch_events_are_read (void **state)
{
  static const char text[]
      = "{\"events\":[{\"key\":\"a\",\"value\":\"bm9kZS0x\",\"revision\":412,"
        "\"created\":412,\"lease\":0},{\"key\":\"b\",\"revision\":413,"
        "\"deleted\":true}],\"current_rev\":420}";
  HsStoreWatchResponse line = { 0 };

  (void) state;
  assert_true (
      hs_store_platform_decode_events (ctx, 200, text, strlen (text), &line));
  assert_int_equal (line.n_events, 2);
  assert_int_equal (line.revision, 420);
  assert_string_equal (line.events[0].kv.value, "node-1");
  assert_true (line.events[1].deleted);
  assert_true (hs_store_platform_decode_events (ctx, 410, "", 0, &line));
  assert_true (line.compact_revision > 0);
  assert_false (hs_store_platform_decode_events (ctx, 503, "", 0, &line));
  assert_false (hs_store_platform_decode_events (ctx, 200, "{}", 2, &line));
}

/* Guards against changes that are lost: the value of some keys, as of those
   that evacuate a data centre, is unspecified. */
static void
a_watched_key_without_a_value_is_read (void **state)
{
  static const char text[] = "{\"events\":[{\"key\":\"a\",\"revision\":412},"
                             "{\"key\":\"b\",\"value\":null,\"revision\":413}],"
                             "\"current_rev\":420}";
  HsStoreWatchResponse line = { 0 };

  (void) state;
  assert_true (
      hs_store_platform_decode_events (ctx, 200, text, strlen (text), &line));
  assert_int_equal (line.n_events, 2);
  assert_string_equal (line.events[0].kv.key, "a");
  assert_string_equal (line.events[1].kv.value, "");
  assert_int_equal (line.events[1].kv.mod_revision, 413);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (a_task_name_is_written_and_read),
    TEST (malformed_task_names_are_rejected),
    TEST (a_start_carries_its_token_and_lease),
    TEST (a_poll_renews_leases_only_if_asked),
    TEST (a_run_list_is_read),
    TEST (odd_rows_of_a_list_are_left_out),
    TEST (a_full_list_of_ends_may_leave_others_out),
    TEST (malformed_run_lists_are_rejected),
    TEST (refusals_are_mapped_to_results),
    TEST (other_statuses_tell_nothing_of_the_call),
    TEST (an_announcement_is_read),
    TEST (the_warm_up_of_a_target_is_read_and_bounded),
    TEST (malformed_announcements_are_rejected),
    TEST (a_job_of_one_step_is_read),
    TEST (unsupported_features_are_reported),
    TEST (malformed_jobs_are_rejected_with_a_reason),
    TEST (a_conditional_write_is_encoded),
    TEST (a_range_reply_is_read),
    TEST (odd_records_hold_up_no_others),
    TEST (reply_status_tells_whether_a_write_was_applied),
    TEST (watch_events_are_read),
    TEST (a_watched_key_without_a_value_is_read),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
