/* Requests of callers to an entry that has their job in progress. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/entry_private.h"

#define CAPACITY 4000

static HsDirectEntry *entry;
static HsPlatformSettings settings;
static uint32_t n_launches;
static uint64_t last_replied;
static HsReplyKind last_reply;
static uint32_t n_replies;
static const char *path;
static bool asks_others;
static uint32_t n_notified;

void
hs_caller_server_reply (HsCallerServer *server,
                        uint64_t handle,
                        const HsReply *reply)
{
  (void) server;
  last_replied = handle;
  last_reply = reply->kind;
  n_replies++;
}

void
hs_entry_schedule (HsDirectEntry *which, bool dispatch)
{
  (void) which;
  (void) dispatch;
}

bool
hs_entry_cancel_ask (HsDirectEntry *which,
                     uint64_t request,
                     const char *customer,
                     const char *id)
{
  (void) which;
  (void) request;
  (void) customer;
  (void) id;
  return asks_others;
}

void
hs_entry_cancel_notify (HsDirectEntry *which,
                        const char *customer,
                        const char *id)
{
  (void) which;
  (void) customer;
  (void) id;
  n_notified++;
}

bool
hs_entry_held_requests_add (HsDirectEntry *which,
                            const HsCallerRequest *request,
                            HsTime now)
{
  (void) which;
  (void) request;
  (void) now;
  return false;
}

static uint32_t
on_launch (void *arg,
           uint32_t target,
           const hsx_launch *job,
           const hsx_launch_task *task)
{
  (void) arg;
  (void) target;
  (void) job;
  (void) task;
  return ++n_launches;
}

static void
on_stop (void *arg, uint32_t target, uint64_t ref)
{
  (void) arg;
  (void) target;
  (void) ref;
}

static void
on_answer (void *arg, const HsJobAnswer *answer)
{
  (void) arg;
  (void) answer;
}

static const HsJobsEffects EFFECTS
    = { .launch = on_launch, .stop = on_stop, .answer = on_answer };

static void
add_target (void)
{
  HsTime now = hs_now ().mono;
  hsx_target_info info = { (char *) "t",
                           (char *) "s",
                           (char *) "r",
                           (char *) "h",
                           { CAPACITY, 100000, 0 } };
  hsx_report_args args = { .state = HSX_TARGET_READY,
                           .free = { CAPACITY, 100000, 0 },
                           .info = &info };
  uint32_t target = hs_targets_connect (entry->targets, 1, "dc1", now);

  hs_targets_apply_report (entry->targets, target, &args, now);
}

static void
submit (uint64_t handle)
{
  HsCallerRequest request = { .handle = handle,
                              .verb = HS_CALLER_SUBMIT,
                              .host = "h",
                              .path = path,
                              .time_left = 100 * HS_SEC };

  request.job = (HsCallerJob){ .best_effort = true,
                               .spec = "x",
                               .spec_len = 1,
                               .n_tasks = 1,
                               .needs = { 1000, 10, 0 },
                               .estimate = 200 * HS_MSEC };
  hs_entry_handle_request (entry, &request);
}

static void
cancel (void)
{
  HsCallerRequest request
      = { .handle = 9, .verb = HS_CALLER_CANCEL, .host = "h", .path = path };

  hs_entry_handle_request (entry, &request);
}

static int
setup (void **state)
{
  HsRoute route = { .customer = "c",
                    .host = "h",
                    .path_prefix = "/q/",
                    .service = "s",
                    .max_failures = 2,
                    .slack_factor = 1.6,
                    .timeout = HS_NEVER };

  (void) state;
  n_launches = n_replies = n_notified = 0;
  path = "/q/00000000000000aa";
  asks_others = true;
  entry = talloc_zero (NULL, HsDirectEntry);
  settings.grace = 6 * HS_SEC;
  entry->settings = &settings;
  entry->routes = hs_routes_new (entry, 1);
  hs_routes_add (entry->routes, &route);
  entry->cancelled_jobs = hs_cancelled_jobs_new (entry);
  entry->targets = hs_targets_new (entry);
  entry->jobs = hs_jobs_new (entry, entry->targets, "dc1", &EFFECTS, NULL);
  add_target ();
  submit (1);
  assert_int_equal (n_launches, 1);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (entry);
  return 0;
}

static void
a_job_in_progress_goes_on_when_it_is_sent_again (void **state)
{
  (void) state;
  submit (2);
  assert_int_equal (n_replies, 0);
  assert_int_equal (n_launches, 1);
  assert_int_equal (hs_jobs_count (entry->jobs), 1);
}

/* Guards against a caller that is told that its job never runs while the job
   runs: it is sent again, on a new connection, to an entry that was paused and
   has yet to read the end of the earlier one. */
static void
a_job_in_progress_is_not_refused_as_never_run_after_a_pause (void **state)
{
  (void) state;
  entry->resume_until = hs_now ().mono + 100 * HS_SEC;
  submit (2);
  assert_int_equal (hs_jobs_count (entry->jobs), 1);
  assert_false (n_replies > 0 && last_replied == 2
                && last_reply == HS_REPLY_REFUSED);
}

/* The same, of an entry that is stopping. */
static void
a_job_in_progress_is_not_refused_as_never_run_at_the_end (void **state)
{
  (void) state;
  entry->stage = HS_ENTRY_DRAINING;
  entry->stop_requested_at = hs_now ().mono - settings.grace;
  submit (2);
  assert_int_equal (hs_jobs_count (entry->jobs), 1);
  assert_false (n_replies > 0 && last_replied == 2
                && last_reply == HS_REPLY_REFUSED);
}

/* Guards against a cancelled job that runs: its POST arrives once more, seconds
   after it was answered as cancelled. */
static void
a_cancelled_job_does_not_start_again (void **state)
{
  (void) state;
  cancel ();
  assert_int_equal (last_reply, HS_REPLY_CANCEL_APPLIED);
  assert_int_equal (n_notified, 1);
  submit (2);
  assert_int_equal (n_launches, 1);
  assert_int_equal (hs_jobs_count (entry->jobs), 0);
  assert_int_equal (last_replied, 2);
  assert_int_equal (last_reply, HS_REPLY_CANCELLED);
}

/* The same, of a POST that its cancelling has overtaken. */
static void
a_job_cancelled_before_it_came_does_not_start (void **state)
{
  (void) state;
  path = "/q/00000000000000bb";
  cancel ();
  submit (2);
  assert_int_equal (n_launches, 1);
  assert_int_equal (last_replied, 2);
  assert_int_equal (last_reply, HS_REPLY_CANCELLED);
}

/* Guards against a refused DELETE that has an effect. */
static void
a_refused_cancelling_leaves_the_job_startable (void **state)
{
  (void) state;
  path = "/q/00000000000000bb";
  asks_others = false;
  cancel ();
  assert_int_equal (last_reply, HS_REPLY_REFUSED);
  submit (2);
  assert_int_equal (n_launches, 2);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (a_job_in_progress_goes_on_when_it_is_sent_again),
    TEST (a_job_in_progress_is_not_refused_as_never_run_after_a_pause),
    TEST (a_job_in_progress_is_not_refused_as_never_run_at_the_end),
    TEST (a_cancelled_job_does_not_start_again),
    TEST (a_job_cancelled_before_it_came_does_not_start),
    TEST (a_refused_cancelling_leaves_the_job_startable),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
