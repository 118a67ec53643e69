/* Memory and descriptors of an entry that isn't on the users' platform, while a
   crowd of clients keeps requests open. Each test starts the entry anew with
   lowered limits in its settings. Checks that it lives, stays within these
   limits, and still answers an ordinary request; no times and no shares.

   Measures resident memory, so that no other load may run beside it. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "base/time.h"
#include "base/uuid7.h"
#include "crowd.h"
#include "entry_cluster.h"
#include "platform_cluster.h"

/** Memory and descriptors of the host in the settings, and the bounds that are
 *  checked. */
#define MEMORY_MB 160
#define MAX_FDS 1000

#define LIMITS                                                                 \
  ",\"max_body\":1048576,\"kept_bytes\":16777216,\"threads\":2,"               \
  "\"memory_mb\":160,\"max_fds\":1000"

/** The largest accepted body. */
#define BODY_BYTES 1048576
#define MISSING_BYTES 5

/** Tasks of a job, and the size of each. */
#define N_TASKS 16
#define TASK_BYTES 62000

/** Ids that are minted this long after the entry's start are certainly new to
 *  it, so that their jobs are started. */
#define CERTAIN_MS 3000

#define CHUNK_BYTES 65536
#define PIECE_BYTES 2048

/** Clients of each test. */
#define N_BODIES 300
#define N_COMPLETE 60
#define N_JOBS 200
#define N_JOBS_AT_ONCE 10
#define N_CONNECTIONS 1200
#define N_IDLE 100

#define HEAD                                                                   \
  "POST /v1/jobs HTTP/1.1\r\nHost: h\r\n"                                      \
  "Authorization: Bearer " ENTRY_CLUSTER_KEY "\r\n"

static EntryCluster cluster;
static CrowdProcess process;

static void
start_entry (void)
{
  assert_true (entry_cluster_restart_entry (&cluster, LIMITS));
  process = crowd_process (cluster.entry);
}

static void
check_entry (void)
{
  crowd_check (&process, MEMORY_MB, MAX_FDS);
  assert_int_equal (entry_cluster_submit (&cluster), 200);
  crowd_check (&process, MEMORY_MB, MAX_FDS);
}

/* Starts the entry, sends the crowd's requests and checks the entry. */
static void
crowd_callers (GString *request, size_t piece, unsigned int n)
{
  Crowd crowd = { .address = cluster.caller_address,
                  .data = request->str,
                  .len = request->len,
                  .piece = piece,
                  .n = n };

  start_entry ();
  crowd_send (&crowd, &process);
  check_entry ();
  g_string_free (request, TRUE);
}

/* Guards against bodies in progress that are held without a bound. */
static void
whole_bodies_stay_within_memory (void **state)
{
  (void) state;
  crowd_callers (crowd_sized_request (HEAD, BODY_BYTES, MISSING_BYTES),
                 CROWD_WHOLE_BYTES, N_BODIES);
}

static void
bodies_in_pieces_stay_within_memory (void **state)
{
  (void) state;
  crowd_callers (crowd_sized_request (HEAD, BODY_BYTES, MISSING_BYTES),
                 PIECE_BYTES, N_BODIES);
}

static void
bodies_in_chunks_stay_within_memory (void **state)
{
  (void) state;
  crowd_callers (crowd_chunked_request (HEAD, BODY_BYTES, CHUNK_BYTES),
                 CROWD_WHOLE_BYTES, N_BODIES);
}

/* Guards against a parser that needs many times the memory of its text. */
static void
bodies_of_many_values_stay_within_memory (void **state)
{
  GString *request = crowd_values_request (
      HEAD, BODY_BYTES, "{\"customer\":\"c1\",\"id\":\"i\",\"tasks\":[",
      "{\"body\":\"a\"}", "]}");
  Crowd crowd = { .address = cluster.caller_address,
                  .data = request->str,
                  .len = request->len,
                  .piece = CROWD_WHOLE_BYTES,
                  .held = MISSING_BYTES,
                  .n = N_COMPLETE };

  (void) state;
  start_entry ();
  crowd_send (&crowd, &process);
  crowd_finish (&crowd, &process);
  check_entry ();
  g_string_free (request, TRUE);
}

/* Submits a job of large tasks that run for a minute for each client, a
   few at a time, so that all of them arrive. Two of the tasks run at a time.
   @param same whether all clients submit the same job */
static void
crowd_with_jobs (bool same)
{
  GString *body = g_string_new ("{\"customer\":\"c2\",\"id\":\"");
  GString *request = g_string_new (HEAD);
  g_autofree char *filler = g_strnfill (TASK_BYTES, 'x');
  Crowd crowd = { .address = cluster.caller_address,
                  .piece = CROWD_WHOLE_BYTES,
                  .n = N_JOBS_AT_ONCE };
  static const uint8_t random[HS_UUID7_RANDOM_SIZE];
  char id[HS_UUID_SIZE];
  int i;

  start_entry ();
  cluster_sleep_ms (CERTAIN_MS);
  hs_uuid7_format (hs_now ().wall_ms, random, id);
  g_string_append_printf (body, "%s\",\"tasks\":[", id);
  for (i = 0; i < N_TASKS; i++)
    g_string_append_printf (
        body, "%s{\"body\":\"sleep=60000;nonce=%d%s\",\"run_ms\":60000}",
        i > 0 ? "," : "", i, filler);
  g_string_append (body, "]}");
  g_string_append_printf (request, "Content-Length: %zu\r\n\r\n%s", body->len,
                          body->str);
  crowd.data = request->str;
  crowd.len = request->len;
  if (!same)
    crowd.number_at = (size_t) (strstr (request->str, id) - request->str)
                      + strlen (id) - CROWD_DIGITS;
  for (; crowd.first_number < N_JOBS; crowd.first_number += crowd.n)
    crowd_send (&crowd, &process);
  check_entry ();
  g_string_free (request, TRUE);
  g_string_free (body, TRUE);
}

/* Guards against jobs that are held without a bound until they are finished. */
static void
waiting_jobs_stay_within_memory (void **state)
{
  (void) state;
  crowd_with_jobs (false);
}

/* Guards against requests that are held so while they wait for one job. */
static void
resubmissions_of_a_job_stay_within_memory (void **state)
{
  (void) state;
  crowd_with_jobs (true);
}

/* Guards against connections that take all descriptors of the host. */
static void
connections_without_a_request_stay_within_descriptors (void **state)
{
  (void) state;
  crowd_callers (g_string_new (""), CROWD_WHOLE_BYTES, N_CONNECTIONS);
}

/* Connects clients that don't finish their request, and makes another one. */
static void
crowd_port (const char *address, const char *path, const char *token)
{
  static const char part[] = "GET / HTTP/1.1\r\nHo";
  Crowd crowd = { .address = address,
                  .data = part,
                  .len = sizeof part - 1,
                  .piece = CROWD_WHOLE_BYTES,
                  .n = N_IDLE };

  start_entry ();
  crowd_send (&crowd, &process);
  assert_int_equal (entry_cluster_call ("GET", address, path, token, NULL),
                    200);
  check_entry ();
}

/* Guards against ports that idle connections block. */
static void
idle_connections_block_no_operator (void **state)
{
  (void) state;
  crowd_port (cluster.admin_address, "/v1/status", ENTRY_CLUSTER_TOKEN);
}

static void
idle_connections_block_no_target (void **state)
{
  (void) state;
  crowd_port (cluster.target_address, "/metrics", "");
}

static int
set_up (void **state)
{
  char build[256];
  g_autofree char *dir = NULL;

  (void) state;
  /* The sanitizer keeps freed memory aside, which isn't the product's. */
  g_setenv ("ASAN_OPTIONS", "quarantine_size_mb=1", FALSE);
  cluster_build_dir (build);
  dir = g_strdup_printf ("%s/entry-crowd-%d", build, (int) getpid ());
  entry_cluster_start (&cluster, build, dir);
  return 0;
}

static int
tear_down (void **state)
{
  (void) state;
  entry_cluster_stop (&cluster);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CROWD_TEST (whole_bodies_stay_within_memory),
    CROWD_TEST (bodies_in_pieces_stay_within_memory),
    CROWD_TEST (bodies_in_chunks_stay_within_memory),
    CROWD_TEST (bodies_of_many_values_stay_within_memory),
    CROWD_TEST (waiting_jobs_stay_within_memory),
    CROWD_TEST (resubmissions_of_a_job_stay_within_memory),
    CROWD_TEST (connections_without_a_request_stay_within_descriptors),
    CROWD_TEST (idle_connections_block_no_operator),
    CROWD_TEST (idle_connections_block_no_target),
  };

  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, set_up, tear_down);
}
