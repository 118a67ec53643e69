/* Cancelling of jobs that an entry doesn't have; connections and callers are
   stubs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/entry_private.h"

#define N_PEERS 3
#define REQUEST 77
#define CALLS_MAX 256
#define T0 (1000 * HS_SEC)

typedef struct
{
  HsRpcReplyFunc done;
  void *arg;
} Call;

static HsDirectEntry *entry;
static Call calls[CALLS_MAX];
static uint32_t n_calls;
static bool peers_accept_calls;
static uint32_t n_replies;
static HsReplyKind reply_kind;
static bool cancelled_here;
static uint32_t n_messages;
static uint32_t n_told;
static hsx_cancelled_job last_told;

/* Keeps a JOB_CANCELLED: its length, and its last job. */
static void
keep_message (const hsx_job_cancelled_args *args)
{
  n_messages++;
  n_told = args->jobs.jobs_len;
  last_told = args->jobs.jobs_val[n_told - 1];
  assert_string_equal (last_told.customer, "c");
}

bool
hs_conn_call (HsConn *conn,
              uint32_t proc,
              const void *args,
              HsTime timeout,
              HsRpcReplyFunc done,
              void *arg)
{
  const hsx_cancel_job_args *cancel = args;

  (void) conn;
  (void) timeout;
  if (proc == HSX_JOB_CANCELLED)
    {
      keep_message (args);
      return true;
    }
  assert_int_equal (proc, HSX_CANCEL_JOB);
  assert_string_equal (cancel->customer, "c");
  assert_string_equal (cancel->id, "00ff");
  if (!peers_accept_calls)
    return false;
  calls[n_calls++] = (Call){ done, arg };
  return true;
}

bool
hs_conn_reply (HsConn *conn,
               HsRpcCallId call,
               uint32_t proc,
               const void *result)
{
  const hsx_cancel_job_reply *answer = result;

  (void) conn;
  assert_int_equal (call, 5);
  assert_int_equal (proc, HSX_CANCEL_JOB);
  cancelled_here = answer->cancelled;
  return true;
}

void
hs_caller_server_reply (HsCallerServer *server,
                        uint64_t handle,
                        const HsReply *reply)
{
  (void) server;
  assert_int_equal (handle, REQUEST);
  n_replies++;
  reply_kind = reply->kind;
}

static void
on_answer (void *arg, const HsJobAnswer *answer)
{
  (void) arg;
  (void) answer;
}

static const HsJobsEffects EFFECTS = { .answer = on_answer };

static int
set_up (void **state)
{
  uint32_t i;

  (void) state;
  n_calls = n_replies = n_messages = 0;
  peers_accept_calls = true;
  entry = talloc_zero (NULL, HsDirectEntry);
  entry->callers = (HsCallerServer *) entry;
  entry->jobs
      = hs_jobs_new (entry, hs_targets_new (entry), "dc1", &EFFECTS, NULL);
  entry->cancelled_jobs = hs_cancelled_jobs_new (entry);
  for (i = 0; i < N_PEERS; i++)
    entry->peers[2 * i].used = true;
  return 0;
}

static int
tear_down (void **state)
{
  (void) state;
  talloc_free (entry);
  return 0;
}

static void
ask (void)
{
  assert_true (hs_entry_cancel_ask (entry, REQUEST, "c", "00ff"));
}

static void
submit (void)
{
  HsSubmission job = { .id = "00ff",
                       .customer = "c",
                       .service = "s",
                       .spec = "x",
                       .spec_len = 1,
                       .n_tasks = 1,
                       .needs = { 1000, 10, 0 },
                       .time_left = HS_SEC,
                       .max_failures = 1,
                       .slack_factor = 1 };

  hs_jobs_submit (entry->jobs, &job, HS_SEC);
}

static void
answer (uint32_t call, bool cancelled)
{
  hsx_cancel_job_reply result = { cancelled };

  calls[call].done (calls[call].arg, HS_RPC_OK, &result);
}

static void
a_job_that_another_entry_has_is_cancelled (void **state)
{
  (void) state;
  ask ();
  assert_int_equal (n_calls, N_PEERS);
  answer (0, false);
  assert_int_equal (n_replies, 0);
  answer (1, true);
  assert_int_equal (n_replies, 1);
  assert_int_equal (reply_kind, HS_REPLY_CANCEL_APPLIED);
  answer (2, false);
  assert_int_equal (n_replies, 1);
  assert_int_equal (entry->n_cancels, 0);
}

static void
a_job_that_no_entry_has_does_not_exist (void **state)
{
  (void) state;
  ask ();
  answer (0, false);
  answer (1, false);
  assert_int_equal (n_replies, 0);
  answer (2, false);
  assert_int_equal (n_replies, 1);
  assert_int_equal (reply_kind, HS_REPLY_NO_JOB);
}

/* Guards against 410 for a job that goes on at an entry that is silent. */
static void
a_missing_answer_does_not_tell_that_there_is_no_job (void **state)
{
  (void) state;
  ask ();
  answer (0, false);
  calls[1].done (calls[1].arg, HS_RPC_TIMEOUT, NULL);
  answer (2, false);
  assert_int_equal (n_replies, 1);
  assert_int_equal (reply_kind, HS_REPLY_INCOMPLETE);
  peers_accept_calls = false;
  ask ();
  assert_int_equal (n_replies, 2);
  assert_int_equal (reply_kind, HS_REPLY_INCOMPLETE);
}

static void
the_only_entry_answers_at_once (void **state)
{
  (void) state;
  memset (entry->peers, 0, sizeof entry->peers);
  ask ();
  assert_int_equal (n_calls, 0);
  assert_int_equal (reply_kind, HS_REPLY_NO_JOB);
}

/* Guards against 410 while the job runs at another entry: its answer here was
   lost with the connection, and the caller has sent it again. */
static void
a_job_that_has_ended_here_is_cancelled_at_another_entry (void **state)
{
  (void) state;
  submit ();
  assert_true (hs_jobs_cancel (entry->jobs, "c", "00ff", HS_SEC));
  ask ();
  assert_int_equal (n_calls, N_PEERS);
  assert_int_equal (n_replies, 0);
  answer (0, false);
  answer (1, true);
  answer (2, false);
  assert_int_equal (n_replies, 1);
  assert_int_equal (reply_kind, HS_REPLY_CANCEL_APPLIED);
}

static void
requests_that_wait_are_bounded (void **state)
{
  uint32_t n = 0;
  uint32_t i;

  (void) state;
  while (n < CALLS_MAX / N_PEERS
         && hs_entry_cancel_ask (entry, REQUEST, "c", "00ff"))
    n++;
  assert_in_range (n, 1, CALLS_MAX / N_PEERS - 1);
  for (i = 0; i < n_calls; i++)
    answer (i, false);
  assert_int_equal (n_replies, n);
  n_calls = 0;
  ask ();
  assert_int_equal (n_calls, N_PEERS);
}

/* Connections are closed after the server for callers. */
static void
a_stopping_entry_answers_nobody (void **state)
{
  uint32_t i;

  (void) state;
  ask ();
  entry->callers = NULL;
  for (i = 0; i < N_PEERS; i++)
    calls[i].done (calls[i].arg, HS_RPC_DISCONNECTED, NULL);
  assert_int_equal (n_replies, 0);
}

static void
an_entry_that_is_asked_cancels_its_own_job (void **state)
{
  hsx_cancel_job_args args = { (char *) "c", (char *) "00ff" };

  (void) state;
  submit ();
  hs_entry_cancel_answer (entry, NULL, 5, &args, HS_SEC);
  assert_true (cancelled_here);
  assert_int_equal (hs_jobs_count (entry->jobs), 0);
  hs_entry_cancel_answer (entry, NULL, 5, &args, HS_SEC);
  assert_false (cancelled_here);
}

/* Guards against a job that starts at another entry after its cancelling was
   acknowledged: its request arrives there. */
static void
an_entry_that_is_asked_remembers_the_job (void **state)
{
  hsx_cancel_job_args args = { (char *) "c", (char *) "00ff" };

  (void) state;
  hs_entry_cancel_answer (entry, NULL, 5, &args, T0);
  assert_false (cancelled_here);
  assert_true (hs_cancelled_jobs_has (entry->cancelled_jobs, "c", "00ff", T0));
}

static void
all_entries_are_told_of_a_job_cancelled_here (void **state)
{
  (void) state;
  hs_entry_cancel_notify (entry, "c", "00ff");
  assert_int_equal (n_messages, N_PEERS);
  assert_string_equal (last_told.id, "00ff");
  assert_int_equal (last_told.age_ms, 0);
}

/* Guards against a job that goes on as its request came before the message. */
static void
a_message_cancels_a_job_in_progress (void **state)
{
  hsx_cancelled_job list[2] = { { (char *) "c", (char *) "00fe", 0 },
                                { (char *) "c", (char *) "00ff", 4000 } };
  hsx_job_cancelled_args args = { { 2, list } };
  HsTime end = T0 - 4 * HS_SEC + HS_CANCELLED_JOBS_SPAN;

  (void) state;
  submit ();
  hs_entry_cancel_receive (entry, &args, T0);
  assert_int_equal (hs_jobs_count (entry->jobs), 0);
  assert_true (hs_cancelled_jobs_has (entry->cancelled_jobs, "c", "00fe", T0));
  assert_true (
      hs_cancelled_jobs_has (entry->cancelled_jobs, "c", "00ff", end - 1));
  assert_false (
      hs_cancelled_jobs_has (entry->cancelled_jobs, "c", "00ff", end));
}

/* Guards against a job that starts at an entry that has restarted since its
   cancelling, or was cut off then. */
static void
an_entry_that_connects_is_told_of_the_latest_jobs (void **state)
{
  (void) state;
  hs_entry_cancel_peer_connected (entry, &entry->peers[0], T0);
  assert_int_equal (n_messages, 0);
  hs_cancelled_jobs_add (entry->cancelled_jobs, "c", "01", T0 - 11 * HS_SEC,
                         T0);
  hs_cancelled_jobs_add (entry->cancelled_jobs, "c", "02", T0 - 7 * HS_SEC, T0);
  hs_entry_cancel_peer_connected (entry, &entry->peers[0], T0);
  assert_int_equal (n_messages, 1);
  assert_int_equal (n_told, 1);
  assert_string_equal (last_told.id, "02");
  assert_int_equal (last_told.age_ms, 7000);
}

/* Guards against a message that the protocol's limits forbid, which would not
   be sent at all. */
static void
the_message_to_an_entry_that_connects_is_bounded (void **state)
{
  char id[20];
  uint32_t i;

  (void) state;
  for (i = 0; i < HS_CANCELLED_JOBS_MAX; i++)
    {
      g_snprintf (id, sizeof id, "%x", i);
      hs_cancelled_jobs_add (entry->cancelled_jobs, "c", id, T0, T0);
    }
  hs_entry_cancel_peer_connected (entry, &entry->peers[0], T0);
  assert_int_equal (n_messages, 1);
  assert_in_range (n_told, 1000, HSX_RECORDS_MAX);
  assert_string_equal (last_told.id, id);
}

#define TEST(test) cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (a_job_that_another_entry_has_is_cancelled),
    TEST (a_job_that_no_entry_has_does_not_exist),
    TEST (a_missing_answer_does_not_tell_that_there_is_no_job),
    TEST (the_only_entry_answers_at_once),
    TEST (a_job_that_has_ended_here_is_cancelled_at_another_entry),
    TEST (requests_that_wait_are_bounded),
    TEST (a_stopping_entry_answers_nobody),
    TEST (an_entry_that_is_asked_cancels_its_own_job),
    TEST (an_entry_that_is_asked_remembers_the_job),
    TEST (all_entries_are_told_of_a_job_cancelled_here),
    TEST (a_message_cancels_a_job_in_progress),
    TEST (an_entry_that_connects_is_told_of_the_latest_jobs),
    TEST (the_message_to_an_entry_that_connects_is_bounded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
