#include "platform_cluster.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

/** Listen ports of the processes; below those of tools/faults and below the
 *  kernel's ephemeral ports. A test takes them in blocks. */
#define PORT_MIN 12000
#define PORT_BLOCK_SIZE 100
#define PORT_BLOCKS 130

extern char **environ;

static const char *const KIND_NAMES[CLUSTER_KINDS]
    = { "store", "entry", "agent", "target" };

void
cluster_build_dir (char out[256])
{
  g_autofree char *program = g_file_read_link ("/proc/self/exe", NULL);
  g_autofree char *tests = g_path_get_dirname (program);
  g_autofree char *build = g_path_get_dirname (tests);

  g_strlcpy (out, build, 256);
}

/* A socket that listens on a port of loopback, or -1. */
static int
listen_at (unsigned int port)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  in.sin_port = htons ((uint16_t) port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &in, sizeof in) == 0 && listen (fd, 1) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Takes a block of ports that no other test uses: the one that listens on its
   first port, until the process ends. */
static unsigned int
take_port_block (void)
{
  static unsigned int block;
  unsigned int i;

  if (block == 0)
    block = (unsigned int) getpid ();
  for (i = 0; i < PORT_BLOCKS; i++)
    {
      unsigned int first = PORT_MIN + block++ % PORT_BLOCKS * PORT_BLOCK_SIZE;

      if (listen_at (first) >= 0)
        return first;
    }
  g_error ("no free block of ports from %d on", PORT_MIN);
}

/* Chooses a port that nothing listens on. It is not an ephemeral port, because
   a process that is restarted has to find it free. */
void
cluster_choose_address (char out[32])
{
  static unsigned int next;
  static unsigned int end;
  int fd;

  do
    {
      if (next == end)
        {
          next = take_port_block () + 1;
          end = next + PORT_BLOCK_SIZE - 1;
        }
      fd = listen_at (next++);
    }
  while (fd < 0);
  close (fd);
  g_snprintf (out, 32, "127.0.0.1:%u", next - 1);
}

void
cluster_init (Cluster *c,
              const char *build,
              const char *dir,
              unsigned int n_entries,
              unsigned int n_agents,
              unsigned int cpu_milli)
{
  unsigned int i;

  memset (c, 0, sizeof *c);
  g_strlcpy (c->dir, dir, sizeof c->dir);
  g_strlcpy (c->build, build, sizeof c->build);
  g_mkdir_with_parents (dir, 0755);
  c->n_entries = n_entries;
  c->n_agents = n_agents;
  c->cpu_milli = cpu_milli;
  cluster_choose_address (c->addresses[CLUSTER_STORE][0]);
  g_strlcpy (c->store_dial_address, c->addresses[CLUSTER_STORE][0],
             sizeof c->store_dial_address);
  for (i = 0; i < n_entries; i++)
    {
      cluster_choose_address (c->addresses[CLUSTER_ENTRY][i]);
      g_strlcpy (c->caller_dial_addresses[i], c->addresses[CLUSTER_ENTRY][i],
                 sizeof c->caller_dial_addresses[i]);
      cluster_choose_address (c->ready_addresses[i]);
      cluster_choose_address (c->control_addresses[i]);
      g_strlcpy (c->control_dial_addresses[i], c->control_addresses[i],
                 sizeof c->control_dial_addresses[i]);
    }
  for (i = 0; i < n_agents; i++)
    {
      cluster_choose_address (c->addresses[CLUSTER_AGENT][i]);
      cluster_choose_address (c->addresses[CLUSTER_TARGET][i]);
      g_strlcpy (c->app_dial_addresses[i], c->addresses[CLUSTER_TARGET][i],
                 sizeof c->app_dial_addresses[i]);
    }
}

static void
format_seeds (const Cluster *c, char *out, size_t size)
{
  unsigned int i;

  out[0] = '\0';
  for (i = 0; i < c->n_entries && i < 3; i++)
    {
      g_strlcat (out, i > 0 ? ",\"" : "\"", size);
      g_strlcat (out, c->control_dial_addresses[i], size);
      g_strlcat (out, "\"", size);
    }
}

static void
write_metrics_port (Cluster *c, ClusterKind kind, unsigned int i, FILE *f)
{
  char *address = c->metrics_addresses[kind][i];

  if (address[0] == '\0')
    cluster_choose_address (address);
  fprintf (f, "\"metrics_port\":%s,", strchr (address, ':') + 1);
}

static void
write_settings (Cluster *c, ClusterKind kind, unsigned int i, char *path)
{
  char seeds[256];
  char evacuate[40] = "";
  FILE *f;

  g_snprintf (path, 300, "%s/%s%u.json", c->dir, KIND_NAMES[kind], i);
  format_seeds (c, seeds, sizeof seeds);
  if (c->evacuate_ms > 0)
    g_snprintf (evacuate, sizeof evacuate, ",\"evacuate_ms\":%u",
                c->evacuate_ms);
  f = fopen (path, "w");
  if (f == NULL)
    abort ();
  fprintf (f, "{\"cluster_key\":\"0123456789-%08d\",", (int) getpid ());
  if (c->memory_mb > 0)
    write_metrics_port (c, kind, i, f);
  fprintf (f,
           "\"platform\":{"
           "\"node_name\":\"%s%u\",\"ip\":\"127.0.0.1\",\"zone\":\"z%u\","
           "\"seeds\":[%s],\"bounds\":{\"grace_s\":6,\"max_hold_ms\":1000,"
           "\"stop_timeout_ms\":50,\"resend_ms\":1300%s},"
           "\"platform\":{\"address\":\"%s\"},",
           KIND_NAMES[kind], i, i % 3, seeds, evacuate, c->store_dial_address);
  if (c->memory_mb > 0)
    fprintf (f, "\"limits\":{\"memory_mb\":%u,\"max_fds\":%u},", c->memory_mb,
             c->max_fds);
  if (kind == CLUSTER_ENTRY)
    fprintf (f,
             "\"listen_addrs\":{\"frontend_addr\":\"%s\",\"ready\":\"%s\","
             "\"control\":\"%s\"}}}",
             c->addresses[kind][i], c->ready_addresses[i],
             c->control_addresses[i]);
  else
    fprintf (f,
             "\"app\":\"%s\",\"service\":\"s\","
             "\"listen_addrs\":{\"control\":\"%s\"}}}",
             c->app_dial_addresses[i], c->addresses[kind][i]);
  fclose (f);
}

pid_t
cluster_spawn (char *const *argv, const char *log)
{
  posix_spawn_file_actions_t actions;
  pid_t pid;

  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, 1, log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&actions, 1, 2);
  /* A process that kept a caller's socket open would hide that it has gone. */
  posix_spawn_file_actions_addclosefrom_np (&actions, 3);
  if (posix_spawn (&pid, argv[0], &actions, NULL, argv, environ) != 0)
    {
      fprintf (stderr, "cannot start %s: %s\n", argv[0], strerror (errno));
      abort ();
    }
  posix_spawn_file_actions_destroy (&actions);
  return pid;
}

void
cluster_start (Cluster *c, ClusterKind kind, unsigned int i)
{
  char settings[300];
  char program[300];
  char log[300];
  char name[32];
  char cpu[16];
  char *argv[8] = { program };
  int n = 1;

  g_snprintf (log, sizeof log, "%s/%s%u.log", c->dir, KIND_NAMES[kind], i);
  if (c->generations[i] == 0)
    g_snprintf (name, sizeof name, "i-%u", i);
  else
    g_snprintf (name, sizeof name, "i-%u-%u", i, c->generations[i]);
  g_snprintf (cpu, sizeof cpu, "%u", c->cpu_milli);
  switch (kind)
    {
    case CLUSTER_STORE:
      g_snprintf (program, sizeof program, "%s/standin-platform-store",
                  c->build);
      argv[n++] = c->addresses[kind][i];
      break;
    case CLUSTER_ENTRY:
    case CLUSTER_AGENT:
      write_settings (c, kind, i, settings);
      g_snprintf (program, sizeof program, "%s/hibiscusspoke", c->build);
      argv[n++] = (char *) KIND_NAMES[kind];
      argv[n++] = (char *) "--platform";
      argv[n++] = settings;
      break;
    default:
      g_snprintf (program, sizeof program, "%s/standin-platform-target",
                  c->build);
      argv[n++] = c->addresses[kind][i];
      argv[n++] = c->addresses[CLUSTER_AGENT][i];
      argv[n++] = name;
      argv[n++] = (char *) "s";
      argv[n++] = cpu;
      break;
    }
  c->pids[kind][i] = cluster_spawn (argv, log);
  c->start_counts[kind][i]++;
}

void
cluster_start_all (Cluster *c)
{
  unsigned int i;

  if (c->pids[CLUSTER_STORE][0] == 0)
    cluster_start (c, CLUSTER_STORE, 0);
  for (i = 0; i < c->n_agents; i++)
    {
      if (c->pids[CLUSTER_AGENT][i] == 0)
        cluster_start (c, CLUSTER_AGENT, i);
      if (c->pids[CLUSTER_TARGET][i] == 0)
        cluster_start (c, CLUSTER_TARGET, i);
    }
  for (i = 0; i < c->n_entries; i++)
    if (c->pids[CLUSTER_ENTRY][i] == 0)
      cluster_start (c, CLUSTER_ENTRY, i);
}

void
cluster_signal (Cluster *c, ClusterKind kind, unsigned int i, int n)
{
  if (c->pids[kind][i] > 0)
    kill (c->pids[kind][i], n);
}

void
cluster_kill (Cluster *c, ClusterKind kind, unsigned int i)
{
  if (c->pids[kind][i] <= 0)
    return;
  kill (c->pids[kind][i], SIGKILL);
  waitpid (c->pids[kind][i], NULL, 0);
  c->pids[kind][i] = 0;
}

bool
cluster_await_exit (Cluster *c, ClusterKind kind, unsigned int i, int ms)
{
  for (; ms > 0; ms -= 20)
    {
      int status;

      if (c->pids[kind][i] <= 0)
        return true;
      if (waitpid (c->pids[kind][i], &status, WNOHANG) == c->pids[kind][i])
        {
          c->pids[kind][i] = 0;
          return WIFEXITED (status) && WEXITSTATUS (status) == 0;
        }
      cluster_sleep_ms (20);
    }
  return false;
}

void
cluster_kill_all (Cluster *c)
{
  unsigned int kind;
  unsigned int i;

  for (kind = 0; kind < CLUSTER_KINDS; kind++)
    for (i = 0; i < CLUSTER_PROCESSES_MAX; i++)
      cluster_kill (c, kind, i);
}

static size_t
on_body (char *data, size_t size, size_t n, void *arg)
{
  ClusterReply *reply = arg;
  size_t length = strlen (reply->body);
  size_t n_copied = MIN (size * n, sizeof reply->body - 1 - length);

  memcpy (reply->body + length, data, n_copied);
  return size * n;
}

static size_t
on_header (char *data, size_t size, size_t n, void *arg)
{
  ClusterReply *reply = arg;
  static const char name[] = "retry-after: ";

  if (size * n > sizeof name
      && g_ascii_strncasecmp (data, name, sizeof name - 1) == 0)
    g_strlcpy (reply->retry_after, data + sizeof name - 1,
               MIN (sizeof reply->retry_after, size * n - sizeof name));
  return size * n;
}

static ClusterReply
perform_request (const char *method,
                 const char *address,
                 const char *path,
                 const char *body,
                 long timeout_ms,
                 struct curl_slist *headers)
{
  ClusterReply reply = { 0 };
  CURL *easy = curl_easy_init ();
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, path);

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  if (body != NULL)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &reply);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, &reply);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &reply.status);
  curl_easy_getinfo (easy, CURLINFO_TOTAL_TIME, &reply.seconds);
  curl_easy_cleanup (easy);
  return reply;
}

ClusterReply
cluster_call (const char *method,
              const char *address,
              const char *path,
              const char *body,
              long timeout_ms)
{
  return cluster_call_with (method, address, path, "Host: h.example", body,
                            timeout_ms);
}

ClusterReply
cluster_call_with (const char *method,
                   const char *address,
                   const char *path,
                   const char *header,
                   const char *body,
                   long timeout_ms)
{
  struct curl_slist *headers = curl_slist_append (NULL, header);
  ClusterReply reply
      = perform_request (method, address, path, body, timeout_ms, headers);

  curl_slist_free_all (headers);
  return reply;
}

int
cluster_dial (const char *address)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  in.sin_port = htons ((uint16_t) atoi (strchr (address, ':') + 1));
  if (fd < 0 || connect (fd, (struct sockaddr *) &in, sizeof in) == 0
      || errno == EINPROGRESS)
    return fd;
  close (fd);
  return -1;
}

ClusterReply
cluster_submit (Cluster *c,
                unsigned int entry,
                const char *id,
                const char *spec,
                unsigned int n_tasks,
                unsigned int cpu_milli,
                long deadline_ms)
{
  g_autofree char *path = g_strdup_printf ("/q/%s", id);

  return cluster_submit_to (c, entry, path, spec, n_tasks, cpu_milli, 100,
                            deadline_ms);
}

ClusterReply
cluster_submit_to (Cluster *c,
                   unsigned int entry,
                   const char *path,
                   const char *spec,
                   unsigned int n_tasks,
                   unsigned int cpu_milli,
                   unsigned int estimate_ms,
                   long deadline_ms)
{
  g_autofree char *body = g_strdup_printf (
      "{\"spec\":\"%s cpu=%u\",\"best_effort\":true,\"steps\":[{\"count\":%u,"
      "\"cpu\":%u,\"mem_mb\":64,\"estimate_ms\":%u}]}",
      spec, cpu_milli, n_tasks, cpu_milli, estimate_ms);
  g_autofree char *left
      = g_strdup_printf ("X-Hibiscusspoke-Deadline-Ms: %ld", deadline_ms);
  struct curl_slist *headers = curl_slist_append (NULL, "Host: h.example");
  ClusterReply reply;

  headers = curl_slist_append (headers, left);
  reply = perform_request ("POST", c->caller_dial_addresses[entry], path, body,
                           deadline_ms + 200, headers);
  curl_slist_free_all (headers);
  return reply;
}

void
cluster_configure (Cluster *c, int version, const char *extra_prefix)
{
  static const char route[]
      = "{\"name\":\"r-%s\",\"host\":\"h.example\",\"path_prefix\":\"%s\","
        "\"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":60,"
        "\"service\":\"s\",\"max_attempts\":3,\"slack_factor\":1.6}";
  GString *text = g_string_new (NULL);

  g_string_printf (text, "{\"version\":%d,\"routes\":[", version);
  g_string_append_printf (text, route, "q", "/q/");
  if (extra_prefix != NULL)
    {
      g_string_append_c (text, ',');
      g_string_append_printf (text, route, "more", extra_prefix);
    }
  g_string_append (text, "],\"services\":[{\"name\":\"s\"}],\"limits\":{}}");
  cluster_call ("PUT", c->addresses[CLUSTER_STORE][0], "/op/config", text->str,
                2000);
  g_string_free (text, TRUE);
}

bool
cluster_await_ready (Cluster *c, unsigned int entry, int ms)
{
  for (; ms > 0; ms -= 20)
    {
      if (cluster_call ("GET", c->ready_addresses[entry], "/-/readyz", NULL,
                        500)
              .status
          == 200)
        return true;
      cluster_sleep_ms (20);
    }
  return false;
}

bool
cluster_logs_contain (Cluster *c, ClusterKind kind, const char *text)
{
  unsigned int i;

  for (i = 0; i < CLUSTER_PROCESSES_MAX; i++)
    {
      g_autofree char *path
          = g_strdup_printf ("%s/%s%u.log", c->dir, KIND_NAMES[kind], i);
      g_autofree char *log = NULL;

      if (g_file_get_contents (path, &log, NULL, NULL)
          && strstr (log, text) != NULL)
        return true;
    }
  return false;
}

long
cluster_target_counter (Cluster *c, unsigned int target, const char *name)
{
  ClusterReply reply = cluster_call (
      "GET", c->addresses[CLUSTER_TARGET][target], "/state", NULL, 1000);
  g_autofree char *key = g_strdup_printf ("\"%s\":", name);
  const char *at = strstr (reply.body, key);

  return at != NULL ? strtol (at + strlen (key), NULL, 10) : -1;
}

void
cluster_sleep_ms (int ms)
{
  g_usleep ((gulong) ms * 1000);
}
