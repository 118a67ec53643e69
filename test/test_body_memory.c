/* Memory and descriptors of real processes while a crowd of clients keeps
   requests open that don't end. Each test starts the process under test anew
   with lowered limits in its settings. Checks that it lives, stays within these
   limits, and still answers an ordinary request; no times and no shares.

   Measures resident memory, so that no other load may run beside it. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "crowd.h"
#include "platform_cluster.h"

/** Memory of the host in the settings, and the bound that is checked. */
#define MEMORY_MB 64

/** Descriptors of the host in the settings, and the bound that is checked: for
 *  the tests of bodies, and for those of many connections. */
#define MAX_FDS 4100
#define MAX_FDS_LOW 1000

/** Clients of each test. */
#define N_BODIES 320
#define N_CONNECTIONS 1200
#define N_ANNOUNCEMENTS 32
#define N_CHECKERS 64

/** Connections of a text server, and as many again while it closes others. */
#define N_TEXT_CONNECTIONS 32

/** Requests for metrics whose answers fill the buffers of a connection. */
#define N_PIPELINED 4000

/** Complete announcements of the maximum size that fit into the budget of a
 *  host of this memory together. */
#define N_COMPLETE 17
#define MEMORY_MB_COMPLETE 128

/** The largest accepted bodies of callers and of announcements. */
#define CALLER_BODY_BYTES 262144
#define ANNOUNCEMENT_BYTES (4 * 1024 * 1024)

/** Bytes of a body that never arrive. */
#define MISSING_BYTES 5

#define LARGE_CHUNK_BYTES 65536
#define SMALL_CHUNK_BYTES 16

#define PIECE_BYTES 2048

/** Time-outs of an ordinary request. A process that answers does so much
 *  earlier; one that waits for idle connections to time out doesn't. */
#define REQUEST_TIMEOUT_MS 10000
#define READY_TIMEOUT_MS 30000

#define ANNOUNCEMENT_HEAD                                                      \
  "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"state\":\"ready\","        \
  "\"sequence\":4,\"born\":7,"                                                 \
  "\"capacity\":{\"cpu\":4000,\"mem_mb\":1000,\"gpu\":0},"

#define JOB_HEAD "POST /q/00000000000000fe HTTP/1.1\r\nHost: h.example\r\n"
#define PUT_HEAD "PUT /-/instances/crowd HTTP/1.1\r\nHost: h.example\r\n"

static Cluster cluster;
static CrowdProcess process;
static unsigned int next_id;

static void
start_process (ClusterKind kind, unsigned int memory_mb, unsigned int max_fds)
{
  cluster_kill (&cluster, kind, 0);
  cluster.memory_mb = memory_mb;
  cluster.max_fds = max_fds;
  cluster_start (&cluster, kind, 0);
}

static bool
submit_job (void)
{
  char id[20];

  g_snprintf (id, sizeof id, "%016x", ++next_id);
  return cluster_submit (&cluster, 0, id, "ms=20", 2, 1000, REQUEST_TIMEOUT_MS)
             .status
         == 200;
}

/* Also shows that the agent has offered resources. */
static void
start_entry (unsigned int max_fds)
{
  int i;

  start_process (CLUSTER_ENTRY, MEMORY_MB, max_fds);
  assert_true (cluster_await_ready (&cluster, 0, READY_TIMEOUT_MS));
  for (i = 0; i < 100 && !submit_job (); i++)
    cluster_sleep_ms (50);
  process = crowd_process (cluster.pids[CLUSTER_ENTRY][0]);
}

static bool
announce (void)
{
  static const char body[]
      = "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"state\":\"ready\","
        "\"sequence\":4,\"born\":7,\"labels\":[],"
        "\"capacity\":{\"cpu\":4000,\"mem_mb\":1000,\"gpu\":0}}";

  return cluster_call ("PUT", cluster.addresses[CLUSTER_AGENT][0],
                       "/-/instances/ordinary", body, REQUEST_TIMEOUT_MS)
             .status
         == 200;
}

static void
start_agent (unsigned int memory_mb)
{
  int i;

  cluster_kill (&cluster, CLUSTER_TARGET, 0);
  start_process (CLUSTER_AGENT, memory_mb, MAX_FDS);
  for (i = 0; i < READY_TIMEOUT_MS / 50 && !announce (); i++)
    cluster_sleep_ms (50);
  process = crowd_process (cluster.pids[CLUSTER_AGENT][0]);
}

static void
check_entry (void)
{
  crowd_check (&process, cluster.memory_mb, cluster.max_fds);
  assert_true (submit_job ());
  crowd_check (&process, cluster.memory_mb, cluster.max_fds);
}

static void
check_agent (void)
{
  crowd_check (&process, cluster.memory_mb, cluster.max_fds);
  assert_true (announce ());
  crowd_check (&process, cluster.memory_mb, cluster.max_fds);
}

static void
crowd_an_entry (GString *request, size_t piece)
{
  Crowd crowd = { .address = cluster.addresses[CLUSTER_ENTRY][0],
                  .data = request->str,
                  .len = request->len,
                  .piece = piece,
                  .n = N_BODIES };

  start_entry (MAX_FDS);
  crowd_send (&crowd, &process);
  check_entry ();
  g_string_free (request, TRUE);
}

static void
crowd_an_agent (GString *request, size_t piece)
{
  Crowd crowd = { .address = cluster.addresses[CLUSTER_AGENT][0],
                  .data = request->str,
                  .len = request->len,
                  .piece = piece,
                  .n = N_ANNOUNCEMENTS };

  start_agent (MEMORY_MB);
  crowd_send (&crowd, &process);
  check_agent ();
  g_string_free (request, TRUE);
}

/* Guards against bodies in progress that are held without a bound. */
static void
whole_bodies_stay_within_memory (void **state)
{
  (void) state;
  crowd_an_entry (
      crowd_sized_request (JOB_HEAD, CALLER_BODY_BYTES, MISSING_BYTES),
      CROWD_WHOLE_BYTES);
}

static void
bodies_in_pieces_stay_within_memory (void **state)
{
  (void) state;
  crowd_an_entry (
      crowd_sized_request (JOB_HEAD, CALLER_BODY_BYTES, MISSING_BYTES),
      PIECE_BYTES);
}

static void
bodies_in_large_chunks_stay_within_memory (void **state)
{
  (void) state;
  crowd_an_entry (
      crowd_chunked_request (JOB_HEAD, CALLER_BODY_BYTES, LARGE_CHUNK_BYTES),
      CROWD_WHOLE_BYTES);
}

static void
bodies_in_small_chunks_stay_within_memory (void **state)
{
  (void) state;
  crowd_an_entry (
      crowd_chunked_request (JOB_HEAD, CALLER_BODY_BYTES, SMALL_CHUNK_BYTES),
      CROWD_WHOLE_BYTES);
}

/* Guards against a parser that needs many times the memory of its text. */
static void
body_of_many_values_stays_within_memory (void **state)
{
  GString *body = g_string_new ("{\"best_effort\":true,\"more\":[{}");
  ClusterReply reply;

  (void) state;
  start_entry (MAX_FDS);
  while (body->len < CALLER_BODY_BYTES - 100)
    g_string_append (body, ",{}");
  g_string_append (body, "],\"spec\":\"ms=20\",\"steps\":[{\"count\":1}]}");
  reply = cluster_call ("POST", cluster.addresses[CLUSTER_ENTRY][0],
                        "/q/00000000000000ff", body->str, REQUEST_TIMEOUT_MS);
  assert_int_equal (reply.status, 200);
  check_entry ();
  g_string_free (body, TRUE);
}

static void
crowd_connections (const char *address, const char *data, size_t len)
{
  Crowd crowd = { .address = address,
                  .data = data,
                  .len = len,
                  .piece = CROWD_WHOLE_BYTES,
                  .n = N_CONNECTIONS };

  crowd_send (&crowd, &process);
  check_entry ();
}

/* Guards against bytes that the kernel holds for the process, which count
   towards the memory of its host as well. */
static void
send_while_suspended (const char *address, unsigned int n)
{
  GString *request
      = crowd_sized_request (JOB_HEAD, CALLER_BODY_BYTES, MISSING_BYTES);
  Crowd crowd = { .address = address,
                  .data = request->str,
                  .len = request->len,
                  .piece = CROWD_WHOLE_BYTES,
                  .held = request->len,
                  .n = n };

  crowd_send (&crowd, &process);
  crowd_finish (&crowd, &process);
  check_entry ();
  g_string_free (request, TRUE);
}

static void
unread_bytes_stay_within_memory (void **state)
{
  (void) state;
  start_entry (MAX_FDS);
  send_while_suspended (cluster.addresses[CLUSTER_ENTRY][0], N_CONNECTIONS);
}

/* The same of peers that don't finish HELLO, beside bodies in progress. */
static void
unread_bytes_before_hello_stay_within_memory (void **state)
{
  GString *request
      = crowd_sized_request (JOB_HEAD, CALLER_BODY_BYTES, MISSING_BYTES);

  (void) state;
  crowd_an_entry (request, CROWD_WHOLE_BYTES);
  send_while_suspended (cluster.control_addresses[0], N_CONNECTIONS);
}

/* Guards against connections that take all descriptors of the host. */
static void
connections_without_a_request_stay_within_descriptors (void **state)
{
  (void) state;
  start_entry (MAX_FDS_LOW);
  crowd_connections (cluster.addresses[CLUSTER_ENTRY][0], "", 0);
}

static void
headers_without_an_end_stay_within_descriptors (void **state)
{
  GString *head = g_string_new (JOB_HEAD);

  (void) state;
  while (head->len < 8000)
    g_string_append (head, "X-More: 0123456789012345678901234567890123456\r\n");
  start_entry (MAX_FDS_LOW);
  crowd_connections (cluster.addresses[CLUSTER_ENTRY][0], head->str, head->len);
  g_string_free (head, TRUE);
}

/* Shorter ones: those above fill libmicrohttpd's memory for a connection, so
   that it refuses them. */
static void
short_headers_without_an_end_stay_within_descriptors (void **state)
{
  (void) state;
  start_entry (MAX_FDS_LOW);
  crowd_connections (cluster.addresses[CLUSTER_ENTRY][0], JOB_HEAD "X-More: 1",
                     strlen (JOB_HEAD "X-More: 1"));
}

/* The last request has no end. The clients don't read the answers. */
static void
pipelined_requests_stay_within_descriptors (void **state)
{
  GString *requests = g_string_new (NULL);

  (void) state;
  while (requests->len < 8000)
    g_string_append (requests, "GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n");
  g_string_append (requests, "POST /q/00fe HTTP/1.1\r\nHost: h.example\r\n"
                             "Content-Length: 20000\r\n\r\n{");
  start_entry (MAX_FDS_LOW);
  crowd_connections (cluster.addresses[CLUSTER_ENTRY][0], requests->str,
                     requests->len);
  g_string_free (requests, TRUE);
}

/* Peers that don't finish HELLO. Passed before as well: the endpoint bounds
   them. */
static void
rpc_connections_before_hello_stay_within_descriptors (void **state)
{
  static const char half_record[] = "\x80\x00\x01\x00 half of a record";

  (void) state;
  start_entry (MAX_FDS_LOW);
  crowd_connections (cluster.control_addresses[0], half_record,
                     sizeof half_record - 1);
}

/* Guards against a log that each connection of a crowd adds to: a line a
   second. */
static void
rpc_connections_with_junk_write_few_lines (void **state)
{
  static const char junk[] = "GET / HTTP/1.1\r\n\r\n";
  g_autofree char *log = g_strdup_printf ("%s/entry0.log", cluster.dir);
  gint64 began_at;
  size_t n_before;
  size_t n_lines;

  (void) state;
  start_entry (MAX_FDS_LOW);
  n_before = crowd_count_lines (log, "record");
  began_at = g_get_monotonic_time ();
  crowd_connections (cluster.control_addresses[0], junk, sizeof junk - 1);
  n_lines = crowd_count_lines (log, "record") - n_before;
  print_message ("%zu lines\n", n_lines);
  assert_true (n_lines
               <= (size_t) (g_get_monotonic_time () - began_at) / 1000000 + 2);
}

/* Guards against a readiness or metrics port that idle connections block. */
static void
idle_connections_block_no_text_server (void **state)
{
  const char *addresses[2];
  Crowd crowd = { .data = "GET /", .len = 5, .piece = 5, .n = N_CHECKERS };
  unsigned int i;

  (void) state;
  start_entry (MAX_FDS_LOW);
  addresses[0] = cluster.ready_addresses[0];
  addresses[1] = cluster.metrics_addresses[CLUSTER_ENTRY][0];
  for (i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      crowd.address = addresses[i];
      crowd_send (&crowd, &process);
    }
  assert_int_equal (
      cluster_call ("GET", addresses[0], "/-/readyz", NULL, REQUEST_TIMEOUT_MS)
          .status,
      200);
  assert_int_equal (
      cluster_call ("GET", addresses[1], "/metrics", NULL, REQUEST_TIMEOUT_MS)
          .status,
      200);
  check_entry ();
}

/* Guards against clients that keep a metrics port for themselves, as they don't
   read its answers. */
static void
unread_answers_block_no_text_server (void **state)
{
  GString *requests = g_string_new (NULL);
  Crowd crowd = { .piece = CROWD_WHOLE_BYTES, .n = N_TEXT_CONNECTIONS };
  unsigned int i;

  (void) state;
  start_entry (MAX_FDS_LOW);
  for (i = 0; i < N_PIPELINED; i++)
    g_string_append (requests,
                     "GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n");
  crowd.address = cluster.metrics_addresses[CLUSTER_ENTRY][0];
  crowd.data = requests->str;
  crowd.len = requests->len;
  crowd_send (&crowd, &process);
  /* One after the other, so that each finds those before it waiting for their
     clients to read. */
  crowd.n = 1;
  crowd.settle_ms = 100;
  for (i = 0; i < N_TEXT_CONNECTIONS; i++)
    crowd_send (&crowd, &process);
  assert_int_equal (
      cluster_call ("GET", crowd.address, "/metrics", NULL, REQUEST_TIMEOUT_MS)
          .status,
      200);
  check_entry ();
  g_string_free (requests, TRUE);
}

static void
whole_announcements_stay_within_memory (void **state)
{
  (void) state;
  crowd_an_agent (
      crowd_sized_request (PUT_HEAD, ANNOUNCEMENT_BYTES, MISSING_BYTES),
      CROWD_WHOLE_BYTES);
}

static void
announcements_in_pieces_stay_within_memory (void **state)
{
  (void) state;
  crowd_an_agent (
      crowd_sized_request (PUT_HEAD, ANNOUNCEMENT_BYTES, MISSING_BYTES),
      LARGE_CHUNK_BYTES);
}

static void
announcements_in_chunks_stay_within_memory (void **state)
{
  (void) state;
  crowd_an_agent (
      crowd_chunked_request (PUT_HEAD, ANNOUNCEMENT_BYTES, LARGE_CHUNK_BYTES),
      CROWD_WHOLE_BYTES);
}

static void
announcement_of_many_values_stays_within_memory (void **state)
{
  GString *body = g_string_new (ANNOUNCEMENT_HEAD "\"labels\":[{}");
  ClusterReply reply;

  (void) state;
  start_agent (MEMORY_MB);
  while (body->len < ANNOUNCEMENT_BYTES - 100)
    g_string_append (body, ",{}");
  g_string_append (body, "]}");
  reply = cluster_call ("PUT", cluster.addresses[CLUSTER_AGENT][0],
                        "/-/instances/ordinary", body->str, REQUEST_TIMEOUT_MS);
  assert_int_equal (reply.status, 200);
  check_agent ();
  g_string_free (body, TRUE);
}

/* Guards against bodies that are held, in whole, until their answers are sent.
   They fill the budget together, and are complete at once. */
static void
complete_announcements_stay_within_memory (void **state)
{
  GString *request
      = crowd_values_request (PUT_HEAD, ANNOUNCEMENT_BYTES,
                              ANNOUNCEMENT_HEAD "\"x\":[", "{\"a\":{}}", "]}");
  Crowd crowd = { .address = cluster.addresses[CLUSTER_AGENT][0],
                  .data = request->str,
                  .len = request->len,
                  .piece = CROWD_WHOLE_BYTES,
                  .held = MISSING_BYTES,
                  .n = N_COMPLETE };

  (void) state;
  start_agent (MEMORY_MB_COMPLETE);
  crowd_send (&crowd, &process);
  crowd_finish (&crowd, &process);
  check_agent ();
  g_string_free (request, TRUE);
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
  dir = g_strdup_printf ("%s/body-memory-%d", build, (int) getpid ());
  cluster_init (&cluster, build, dir, 1, 1, 4000);
  cluster_start (&cluster, CLUSTER_STORE, 0);
  cluster_sleep_ms (200);
  cluster_configure (&cluster, 1, NULL);
  cluster_start (&cluster, CLUSTER_AGENT, 0);
  cluster_start (&cluster, CLUSTER_TARGET, 0);
  return 0;
}

static int
tear_down (void **state)
{
  (void) state;
  cluster_kill_all (&cluster);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CROWD_TEST (whole_bodies_stay_within_memory),
    CROWD_TEST (bodies_in_pieces_stay_within_memory),
    CROWD_TEST (bodies_in_large_chunks_stay_within_memory),
    CROWD_TEST (bodies_in_small_chunks_stay_within_memory),
    CROWD_TEST (body_of_many_values_stays_within_memory),
    CROWD_TEST (unread_bytes_stay_within_memory),
    CROWD_TEST (unread_bytes_before_hello_stay_within_memory),
    CROWD_TEST (connections_without_a_request_stay_within_descriptors),
    CROWD_TEST (headers_without_an_end_stay_within_descriptors),
    CROWD_TEST (short_headers_without_an_end_stay_within_descriptors),
    CROWD_TEST (pipelined_requests_stay_within_descriptors),
    CROWD_TEST (rpc_connections_before_hello_stay_within_descriptors),
    CROWD_TEST (rpc_connections_with_junk_write_few_lines),
    CROWD_TEST (idle_connections_block_no_text_server),
    CROWD_TEST (unread_answers_block_no_text_server),
    /* The agent's target is gone from here on. */
    CROWD_TEST (whole_announcements_stay_within_memory),
    CROWD_TEST (announcements_in_pieces_stay_within_memory),
    CROWD_TEST (announcements_in_chunks_stay_within_memory),
    CROWD_TEST (announcement_of_many_values_stays_within_memory),
    CROWD_TEST (complete_announcements_stay_within_memory),
  };

  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, set_up, tear_down);
}
