#include "support.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <curl/curl.h>

/** A case that runs longer than this is ended as not run. */
#define CASE_TIMEOUT_S 115

#define READY_TIMEOUT_MS 10000

Cluster case_cluster;

static FILE *record;
static gint64 began_at;

gint64
case_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (gint64) now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

bool
case_is_calm (void)
{
  const char *text = getenv ("TROUBLE");

  return text != NULL && strcmp (text, "0") == 0;
}

static void
write_line (gint64 at, const char *text)
{
  fprintf (record, "%9.1f %s\n", (double) (at - began_at) / 1000, text);
  fflush (record);
}

void
case_note (const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  write_line (case_now (), text);
}

/* Only the process's own children are ended, by their ids. */
static void
on_end_signal (int number)
{
  unsigned int kind;
  unsigned int i;

  (void) number;
  for (kind = 0; kind < CLUSTER_KINDS; kind++)
    for (i = 0; i < CLUSTER_PROCESSES_MAX; i++)
      if (case_cluster.pids[kind][i] > 0)
        kill (case_cluster.pids[kind][i], SIGKILL);
  _exit (CASE_NOT_RUN);
}

void
case_begin (int argc,
            char **argv,
            unsigned int n_entries,
            unsigned int n_agents,
            unsigned int cpu_milli)
{
  if (argc != 4)
    {
      fprintf (stderr, "usage: %s BUILD-DIR TEMPORARY-DIR RECORD\n", argv[0]);
      exit (CASE_NOT_RUN);
    }
  record = fopen (argv[3], "w");
  if (record == NULL)
    {
      fprintf (stderr, "can't write %s\n", argv[3]);
      exit (CASE_NOT_RUN);
    }
  began_at = case_now ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_end_signal);
  signal (SIGINT, on_end_signal);
  signal (SIGALRM, on_end_signal);
  alarm (CASE_TIMEOUT_S);
  curl_global_init (CURL_GLOBAL_ALL);
  cluster_init (&case_cluster, argv[1], argv[2], n_entries, n_agents,
                cpu_milli);
  case_note ("disruption %s; %u entries, %u agents and targets of %u "
             "thousandths of a core",
             case_is_calm () ? "off" : "on", n_entries, n_agents, cpu_milli);
}

void
case_end (int status)
{
  cluster_kill_all (&case_cluster);
  case_note ("result: %s", status == CASE_HELD     ? "the rule held"
                           : status == CASE_BROKEN ? "the rule was broken"
                                                   : "not run");
  printf ("%s\n", status == CASE_HELD     ? "held"
                  : status == CASE_BROKEN ? "broken"
                                          : "not run");
  exit (status);
}

void
case_fail (const char *why)
{
  case_note ("not run: %s", why);
  fprintf (stderr, "not run: %s\n", why);
  case_end (CASE_NOT_RUN);
}

/* Submits as many tasks as there are targets, each of which fills one, so that
   the entry has to know them all. */
static bool
serves (unsigned int entry)
{
  static unsigned int n;
  char id[17];
  unsigned int cpu = case_cluster.cpu_milli;

  g_snprintf (id, sizeof id, "%016x", 0xff000000U + n++);
  return cluster_submit (&case_cluster, entry, id, "ms=20",
                         case_cluster.n_agents, cpu, 1000)
             .status
         == 200;
}

void
case_start_all (void)
{
  gint64 until = case_now () + (gint64) READY_TIMEOUT_MS * 1000;
  unsigned int i;

  cluster_start_all (&case_cluster);
  for (i = 0; i < case_cluster.n_entries; i++)
    {
      if (!cluster_await_ready (&case_cluster, i, READY_TIMEOUT_MS))
        case_fail ("an entry isn't ready");
      while (!serves (i))
        {
          if (case_now () > until)
            case_fail ("an entry serves no job");
          cluster_sleep_ms (50);
        }
    }
  cluster_sleep_ms (300);
  case_note ("all entries serve");
}

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  char ip[32];
  const char *colon = strchr (text, ':');

  g_strlcpy (ip, text, (gsize) (colon - text) + 1);
  inet_pton (AF_INET, ip, &in.sin_addr);
  in.sin_port = htons ((uint16_t) strtoul (colon + 1, NULL, 10));
  return in;
}

void
call_connect (Call *call, const char *address)
{
  struct sockaddr_in to = parse_address (address);
  int on = 1;

  memset (call, 0, sizeof *call);
  g_strlcpy (call->address, address, sizeof call->address);
  call->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (call->fd < 0
      || connect (call->fd, (struct sockaddr *) &to, sizeof to) != 0)
    {
      case_note ("%s: no connection", call->address);
      call_close (call, false);
      return;
    }
  setsockopt (call->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void
call_send (Call *call,
           const char *method,
           const char *path,
           const char *headers,
           const char *body)
{
  g_autofree char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: h.example\r\nContent-Type: application/json\r\n"
      "%sContent-Length: %zu\r\n\r\n%s",
      method, path, headers != NULL ? headers : "",
      body != NULL ? strlen (body) : 0, body != NULL ? body : "");

  g_snprintf (call->what, sizeof call->what, "%s %s at %s", method, path,
              call->address);
  call->sent_at = case_now ();
  if (call->fd < 0)
    return;
  if (send (call->fd, text, strlen (text), MSG_NOSIGNAL)
      != (ssize_t) strlen (text))
    call_close (call, false);
  case_note ("%s: sent", call->what);
}

void
call_send_job (Call *call,
               const char *path,
               const char *spec,
               unsigned int n_tasks,
               unsigned int cpu_milli,
               unsigned int estimate_ms,
               unsigned int deadline_ms)
{
  g_autofree char *body = g_strdup_printf (
      "{\"spec\":\"%s cpu=%u\",\"best_effort\":true,\"steps\":[{\"count\":%u,"
      "\"cpu\":%u,\"mem_mb\":64,\"estimate_ms\":%u}]}",
      spec, cpu_milli, n_tasks, cpu_milli, estimate_ms);
  g_autofree char *headers
      = g_strdup_printf ("X-Hibiscusspoke-Deadline-Ms: %u\r\n", deadline_ms);

  call_send (call, "POST", path, headers, body);
}

void
call_close (Call *call, bool reset)
{
  struct linger abortive = { 1, 0 };

  if (call->fd < 0)
    return;
  if (reset)
    setsockopt (call->fd, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
  close (call->fd);
  call->fd = -1;
}

/* Returns whether the answer is complete. */
static bool
parse_answer (Call *call)
{
  const char *end = strstr (call->answer, "\r\n\r\n");
  const char *length;

  if (end == NULL || sscanf (call->answer, "HTTP/1.1 %ld", &call->status) != 1)
    {
      call->status = 0;
      return false;
    }
  length = strcasestr (call->answer, "\r\nContent-Length:");
  if (length != NULL && length < end
      && strlen (end + 4) < strtoul (length + 17, NULL, 10))
    {
      call->status = 0;
      return false;
    }
  call->answered_at = case_now ();
  case_note ("%s: answered %ld %s", call->what, call->status, end + 4);
  return true;
}

static void
read_answer (Call *call)
{
  ssize_t n = recv (call->fd, call->answer + call->n_answer,
                    sizeof call->answer - 1 - call->n_answer, MSG_DONTWAIT);

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      case_note ("%s: the connection broke", call->what);
      call_close (call, false);
      return;
    }
  call->n_answer += (unsigned int) n;
  call->answer[call->n_answer] = '\0';
  if (parse_answer (call))
    call_close (call, false);
}

void
calls_read (Call *calls, unsigned int n, int ms)
{
  gint64 until = case_now () + (gint64) ms * 1000;
  struct pollfd fds[64];
  gint64 now;

  while ((now = case_now ()) < until)
    {
      unsigned int n_open = 0;
      unsigned int i;

      for (i = 0; i < n && i < G_N_ELEMENTS (fds); i++)
        {
          fds[i] = (struct pollfd){ calls[i].fd, POLLIN, 0 };
          n_open += calls[i].fd >= 0;
        }
      if (n_open == 0)
        return;
      poll (fds, n, (int) ((until - now) / 1000) + 1);
      for (i = 0; i < n && i < G_N_ELEMENTS (fds); i++)
        if (calls[i].fd >= 0 && fds[i].revents != 0)
          read_answer (&calls[i]);
    }
}

static void
add_line (GArray *runs, unsigned int target, const char *line)
{
  TaskRun run = { .target = target, .end = G_MAXINT64 };
  char kind;
  guint i;

  if (sscanf (line, "%c %199s %u %d %" SCNd64, &kind, run.task, &run.attempt,
              &run.outcome, &run.start)
      != 5)
    return;
  if (kind == 'S')
    {
      g_array_append_val (runs, run);
      return;
    }
  for (i = runs->len; kind == 'E' && i-- > 0;)
    {
      TaskRun *other = &g_array_index (runs, TaskRun, i);

      if (other->target != target || other->attempt != run.attempt
          || strcmp (other->task, run.task) != 0 || other->end != G_MAXINT64)
        continue;
      other->end = run.start;
      other->outcome = run.outcome;
      return;
    }
}

GArray *
case_read_runs (void)
{
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (TaskRun));
  unsigned int i;
  unsigned int k;

  for (i = 0; i < case_cluster.n_agents; i++)
    {
      g_autofree char *path
          = g_strdup_printf ("%s/target%u.log", case_cluster.dir, i);
      g_autofree char *text = NULL;
      char **lines;

      if (!g_file_get_contents (path, &text, NULL, NULL))
        case_fail ("the log of a target can't be read");
      lines = g_strsplit (text, "\n", -1);
      for (k = 0; lines[k] != NULL; k++)
        add_line (runs, i, lines[k]);
      g_strfreev (lines);
    }
  return runs;
}

void
case_note_runs (const GArray *runs, const char *prefix)
{
  static const char *const names[] = { "runs on", "done",   "failed",
                                       "stopped", "lapsed", "refused",
                                       "stalled" };
  guint i;

  for (i = 0; i < runs->len; i++)
    {
      const TaskRun *run = &g_array_index (runs, TaskRun, i);
      g_autofree char *text = NULL;
      bool ended = run->end != G_MAXINT64;

      if (!g_str_has_prefix (run->task, prefix))
        continue;
      text = g_strdup_printf (
          "target%u: %s attempt %u ran until %.1f: %s", run->target, run->task,
          run->attempt, ended ? (double) (run->end - began_at) / 1000 : 0.0,
          ended && (guint) run->outcome < G_N_ELEMENTS (names)
              ? names[run->outcome]
              : "still running");
      write_line (run->start, text);
    }
}
