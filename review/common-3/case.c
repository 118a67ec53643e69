#include "case.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#define SEC 1000000
#define MSEC 1000

static Cluster *the_cluster;
static FILE *record;
static int64_t begun_at;

static void
end_processes (void)
{
  if (the_cluster != NULL)
    cluster_kill_all (the_cluster);
}

static void
on_signal (int number)
{
  unsigned int kind;
  unsigned int i;

  (void) number;
  for (kind = 0; kind < CLUSTER_KINDS; kind++)
    for (i = 0; i < CLUSTER_PROCESSES_MAX; i++)
      if (the_cluster->pids[kind][i] > 0)
        kill (the_cluster->pids[kind][i], SIGKILL);
  _exit (CASE_FAILED);
}

int64_t
case_now (void)
{
  struct timespec t;

  clock_gettime (CLOCK_BOOTTIME, &t);
  return (int64_t) t.tv_sec * SEC + t.tv_nsec / 1000;
}

void
case_begin (Cluster *cluster, const char *path)
{
  the_cluster = cluster;
  record = fopen (path, "w");
  if (record == NULL)
    {
      perror (path);
      exit (CASE_FAILED);
    }
  begun_at = case_now ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGHUP, on_signal);
  atexit (end_processes);
}

bool
case_has_trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

void
case_record (const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (record, "%9.3f %s\n", (double) (case_now () - begun_at) / SEC, text);
  fflush (record);
  printf ("%s\n", text);
  fflush (stdout);
}

void
case_fail (const char *why)
{
  case_record ("could not run: %s", why);
  exit (CASE_FAILED);
}

/* As cluster_configure(), with another time-out. */
static void
configure (Cluster *cluster, unsigned int timeout_ms)
{
  g_autofree char *text = g_strdup_printf (
      "{\"version\":2,\"routes\":[{\"name\":\"r-q\",\"host\":\"h.example\","
      "\"path_prefix\":\"/q/\",\"kind\":\"unsafe\",\"timeout_ms\":%u,"
      "\"target_latency_ms\":60,\"service\":\"s\",\"max_attempts\":3,"
      "\"slack_factor\":1.6}],\"services\":[{\"name\":\"s\"}],\"limits\":{}}",
      timeout_ms);

  cluster_call ("PUT", cluster->addresses[CLUSTER_STORE][0], "/op/config", text,
                2000);
}

void
case_start (Cluster *cluster, unsigned int timeout_ms)
{
  unsigned int i;

  cluster_start_all (cluster);
  cluster_sleep_ms (300);
  cluster_configure (cluster, 1, NULL);
  for (i = 0; i < cluster->n_entries; i++)
    if (!cluster_await_ready (cluster, i, 15000))
      case_fail ("an entry isn't ready");
  configure (cluster, timeout_ms);
  /* contact_ms; by then the configuration is in force, too. */
  cluster_sleep_ms (4000);
  case_record ("%u entries and %u agents run; the route's time-out is %u ms",
               cluster->n_entries, cluster->n_agents, timeout_ms);
}

void
case_sleep_until (int64_t at)
{
  int64_t now = case_now ();

  if (at > now)
    g_usleep ((gulong) (at - now));
}

int
case_connect (const char *address)
{
  int fd = cluster_dial (address);
  struct pollfd p = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t size = sizeof error;

  if (fd < 0)
    return -1;
  if (poll (&p, 1, 2000) == 1
      && getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0
      && error == 0)
    return fd;
  close (fd);
  return -1;
}

void
case_reset (int fd)
{
  struct linger linger = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

bool
case_send (int fd, const char *text)
{
  size_t n = strlen (text);

  while (n > 0)
    {
      struct pollfd p = { .fd = fd, .events = POLLOUT };
      ssize_t sent = send (fd, text, n, MSG_NOSIGNAL);

      if (sent < 0 && errno != EAGAIN)
        return false;
      if (sent < 0)
        {
          if (poll (&p, 1, 5000) != 1)
            return false;
          continue;
        }
      text += sent;
      n -= (size_t) sent;
    }
  return true;
}

bool
case_post (int fd, const CaseJob *job)
{
  g_autofree char *body = g_strdup_printf (
      "{\"spec\":\"%s cpu=%u\",\"best_effort\":true,\"steps\":[{\"count\":%u,"
      "\"cpu\":%u,\"mem_mb\":64,\"estimate_ms\":%ld}]}",
      job->spec, job->cpu_milli, job->n_tasks, job->cpu_milli,
      job->estimate_ms);
  g_autofree char *text = g_strdup_printf (
      "POST /q/%s HTTP/1.1\r\nHost: h.example\r\n"
      "Content-Type: application/json\r\nContent-Length: %zu\r\n"
      "X-Hibiscusspoke-Deadline-Ms: %ld\r\n\r\n%s",
      job->id, strlen (body), job->deadline_ms, body);

  return case_send (fd, text);
}

/* Reads up to @p size bytes. Returns 0 at the end, -1 if none came. */
static ssize_t
receive (int fd, char *data, size_t size, int64_t until)
{
  for (;;)
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      int64_t left = until - case_now ();
      ssize_t n;

      if (left <= 0 || poll (&p, 1, (int) (left / MSEC) + 1) < 1)
        return -1;
      n = recv (fd, data, size, 0);
      if (n >= 0)
        return n;
      if (errno != EAGAIN && errno != EINTR)
        return 0;
    }
}

int
case_read_answer (int fd, int64_t until)
{
  g_autoptr (GString) text = g_string_new (NULL);
  const char *end;
  const char *length;
  size_t size;
  char data[2048];

  for (;;)
    {
      ssize_t n = receive (fd, data, 1, until);

      if (n <= 0)
        return (int) n;
      g_string_append_len (text, data, n);
      end = strstr (text->str, "\r\n\r\n");
      if (end != NULL)
        break;
    }
  length = strcasestr (text->str, "content-length:");
  size = length != NULL ? strtoul (length + 15, NULL, 10) : 0;
  while (size > 0)
    {
      ssize_t n = receive (fd, data, MIN (size, sizeof data), until);

      if (n <= 0)
        return (int) n;
      size -= (size_t) n;
    }
  return atoi (text->str + strlen ("HTTP/1.1 "));
}

int
case_submit (const Cluster *cluster, unsigned int entry, const CaseJob *job)
{
  int fd = case_connect (cluster->caller_dial_addresses[entry]);
  int status = 0;

  if (fd >= 0 && case_post (fd, job))
    {
      case_record ("sent POST %s to entry %u", job->id, entry);
      status = case_read_answer (fd, case_now ()
                                         + (job->deadline_ms + 1000) * MSEC);
    }
  if (fd >= 0)
    close (fd);
  case_record ("answer to POST %s of entry %u: %d", job->id, entry, status);
  return status;
}

static void
read_line (const char *line,
           unsigned int target,
           CaseRun runs[CASE_RUNS_MAX],
           unsigned int *n)
{
  CaseRun run = { .target = target };
  char kind;
  int how;
  int64_t at;
  unsigned int i;

  if (sscanf (line, "%c %95s %u %d %" SCNd64, &kind, run.task, &run.attempt,
              &how, &at)
      != 5)
    return;
  if (kind == 'S' && *n < CASE_RUNS_MAX)
    {
      run.started_at = at;
      runs[(*n)++] = run;
    }
  for (i = 0; kind == 'E' && i < *n; i++)
    if (runs[i].target == target && runs[i].attempt == run.attempt
        && runs[i].ended_at == 0 && strcmp (runs[i].task, run.task) == 0)
      {
        runs[i].ended_at = at;
        runs[i].how = how;
      }
}

unsigned int
case_read_runs (const Cluster *cluster, CaseRun runs[CASE_RUNS_MAX])
{
  unsigned int n = 0;
  unsigned int i;

  for (i = 0; i < cluster->n_agents; i++)
    {
      g_autofree char *path
          = g_strdup_printf ("%s/target%u.log", cluster->dir, i);
      g_autofree char *text = NULL;
      g_auto (GStrv) lines = NULL;
      unsigned int k;

      if (!g_file_get_contents (path, &text, NULL, NULL))
        continue;
      lines = g_strsplit (text, "\n", -1);
      for (k = 0; lines[k] != NULL; k++)
        read_line (lines[k], i, runs, &n);
    }
  return n;
}

void
case_record_runs (const CaseRun *runs, unsigned int n, const char *id)
{
  unsigned int i;

  for (i = 0; i < n; i++)
    if (strncmp (runs[i].task, id, strlen (id)) == 0)
      case_record ("run %s attempt %u on target %u: %.3f to %.3f, how %d",
                   runs[i].task, runs[i].attempt, runs[i].target,
                   (double) (runs[i].started_at - begun_at) / SEC,
                   runs[i].ended_at == 0
                       ? 0.0
                       : (double) (runs[i].ended_at - begun_at) / SEC,
                   runs[i].how);
}
