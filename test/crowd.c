#include "crowd.h"

#include <dirent.h>
#include <errno.h>
#include <poll.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "platform_cluster.h"

#define CONNECTIONS_MAX 4096

/** Bytes of shadow of the thread sanitizer for each byte of the program. */
#define TSAN_SHADOW_BYTES 4

/** The crowd stops sending if nothing could be sent for this long: the process
 *  reads no more. */
#define STALL_MS 2000

/** Time for the process to read what lies in the sockets' buffers, unless the
 *  crowd has its own. */
#define SETTLE_MS 500

#define WATCH_INTERVAL_US 20000

static int sockets[CONNECTIONS_MAX];
static unsigned int n_sockets;

/* In KB, of a line of /proc/PID/status. */
static size_t
read_status (pid_t pid, const char *name)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", (int) pid);
  g_autofree char *text = NULL;
  const char *at;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  at = strstr (text, name);
  return at != NULL ? strtoul (at + strlen (name), NULL, 10) : 0;
}

/* Bytes in the receive queues of a port's connections, accepted or not. */
static size_t
count_unread_bytes (const char *address)
{
  unsigned long port = strtoul (strchr (address, ':') + 1, NULL, 10);
  g_autofree char *text = NULL;
  char **lines;
  size_t sum = 0;
  unsigned int i;

  if (!g_file_get_contents ("/proc/net/tcp", &text, NULL, NULL))
    return 0;
  lines = g_strsplit (text, "\n", -1);
  for (i = 1; lines[i] != NULL; i++)
    {
      unsigned int local;
      unsigned int state;
      unsigned int unread;

      /* Number, local and remote address, state, queues; 10: listens. */
      if (sscanf (lines[i], "%*d: %*x:%x %*x:%*x %x %*x:%x", &local, &state,
                  &unread)
              == 3
          && local == port && state != 10)
        sum += unread;
    }
  g_strfreev (lines);
  return sum;
}

CrowdProcess
crowd_process (pid_t pid)
{
  return (CrowdProcess){ .pid = pid,
                         .baseline_kb = read_status (pid, "VmRSS:") };
}

/* What the product uses of resident memory. The sanitizers add memory of their
   own from the start (shadow, allocator): with them, only what was added since
   counts. Of that, the thread sanitizer's shadow is four bytes for each byte
   that the program uses. */
static size_t
resident_kb (const CrowdProcess *process, const char *name)
{
  size_t kb = read_status (process->pid, name);

#ifdef __SANITIZE_ADDRESS__
  return kb - MIN (kb, process->baseline_kb);
#elif defined __SANITIZE_THREAD__
  return (kb - MIN (kb, process->baseline_kb)) / (1 + TSAN_SHADOW_BYTES);
#else
  return kb;
#endif
}

void
crowd_watch (CrowdProcess *process, const char *address)
{
  size_t kb = resident_kb (process, "VmRSS:");

  if (address != NULL)
    kb += count_unread_bytes (address) / 1024;
  process->peak_kb = MAX (process->peak_kb, kb);
}

/* The most that was measured. */
static size_t
memory_kb (const CrowdProcess *process)
{
  return MAX (process->peak_kb, resident_kb (process, "VmHWM:"));
}

static unsigned int
count_descriptors (pid_t pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/fd", (int) pid);
  DIR *dir = opendir (path);
  unsigned int n = 0;

  if (dir == NULL)
    return 0;
  while (readdir (dir) != NULL)
    n++;
  closedir (dir);
  return n - 2;
}

void
crowd_check (const CrowdProcess *process,
             unsigned int memory_mb,
             unsigned int max_fds)
{
  size_t kb = memory_kb (process);
  unsigned int n = count_descriptors (process->pid);

  assert_int_equal (waitpid (process->pid, NULL, WNOHANG), 0);
  print_message ("%zu KB (before %zu KB), %u descriptors\n", kb,
                 process->baseline_kb, n);
  assert_in_range (kb, 1, memory_mb * 1024);
  assert_in_range (n, 1, max_fds);
}

/* Sends the next piece. Sets @p offset to the end if the connection is
   closed. */
static void
send_piece (const Crowd *crowd,
            unsigned int client,
            size_t end,
            int fd,
            size_t *offset)
{
  size_t number_end = crowd->number_at + CROWD_DIGITS;
  const char *data = crowd->data + *offset;
  char digits[CROWD_DIGITS + 1];
  size_t n_left = end - *offset;
  ssize_t n;

  if (crowd->number_at > 0 && *offset < crowd->number_at)
    n_left = MIN (n_left, crowd->number_at - *offset);
  else if (crowd->number_at > 0 && *offset < number_end)
    {
      g_snprintf (digits, sizeof digits, "%0*u", CROWD_DIGITS,
                  crowd->first_number + client);
      data = digits + (*offset - crowd->number_at);
      n_left = MIN (n_left, number_end - *offset);
    }
  n = send (fd, data, MIN (n_left, crowd->piece), MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != EINTR)
    *offset = end;
  else if (n > 0)
    *offset += (size_t) n;
}

/* Sends the bytes from @p begin to @p end on the connections from @p first
   on. */
static void
send_range (const Crowd *crowd,
            unsigned int first,
            size_t begin,
            size_t end,
            CrowdProcess *process)
{
  size_t *offsets = g_new0 (size_t, crowd->n);
  struct pollfd *polls = g_new0 (struct pollfd, crowd->n);
  unsigned int n_open = crowd->n;
  gint64 watch_at = 0;
  unsigned int i;

  for (i = 0; i < crowd->n; i++)
    {
      offsets[i] = begin;
      polls[i].fd = sockets[first + i];
      polls[i].events = POLLOUT;
    }
  while (n_open > 0 && poll (polls, crowd->n, STALL_MS) > 0)
    {
      n_open = 0;
      for (i = 0; i < crowd->n; i++)
        {
          if (polls[i].revents != 0)
            send_piece (crowd, i, end, polls[i].fd, &offsets[i]);
          if (offsets[i] == end)
            polls[i].fd = -1;
          polls[i].revents = 0;
          n_open += polls[i].fd >= 0;
        }
      if (g_get_monotonic_time () < watch_at)
        continue;
      crowd_watch (process, crowd->address);
      watch_at = g_get_monotonic_time () + WATCH_INTERVAL_US;
    }
  crowd_watch (process, crowd->address);
  g_free (offsets);
  g_free (polls);
}

void
crowd_send (const Crowd *crowd, CrowdProcess *process)
{
  unsigned int first = n_sockets;

  assert_true (n_sockets + crowd->n <= CONNECTIONS_MAX);
  while (n_sockets < first + crowd->n)
    {
      int fd = cluster_dial (crowd->address);

      assert_true (fd >= 0);
      sockets[n_sockets++] = fd;
    }
  send_range (crowd, first, 0, crowd->len - crowd->held, process);
  cluster_sleep_ms (crowd->settle_ms > 0 ? crowd->settle_ms : SETTLE_MS);
  crowd_watch (process, crowd->address);
}

void
crowd_finish (const Crowd *crowd, CrowdProcess *process)
{
  kill (process->pid, SIGSTOP);
  send_range (crowd, n_sockets - crowd->n, crowd->len - crowd->held, crowd->len,
              process);
  kill (process->pid, SIGCONT);
  cluster_sleep_ms (SETTLE_MS);
  crowd_watch (process, crowd->address);
}

int
crowd_end (void **state)
{
  (void) state;
  while (n_sockets > 0)
    close (sockets[--n_sockets]);
  return 0;
}

size_t
crowd_count_lines (const char *path, const char *text)
{
  g_autofree char *log = NULL;
  char **lines;
  size_t n = 0;
  unsigned int i;

  if (!g_file_get_contents (path, &log, NULL, NULL))
    return 0;
  lines = g_strsplit (log, "\n", -1);
  for (i = 0; lines[i] != NULL; i++)
    n += strstr (lines[i], text) != NULL;
  g_strfreev (lines);
  return n;
}

GString *
crowd_sized_request (const char *head, size_t body_bytes, size_t missing)
{
  GString *out = g_string_new (head);
  size_t head_len;

  g_string_append_printf (out, "Content-Length: %zu\r\n\r\n{\"spec\":\"",
                          body_bytes);
  head_len = (size_t) (strstr (out->str, "\r\n\r\n") + 4 - out->str);
  while (out->len < head_len + body_bytes - missing)
    g_string_append_c (out, 'x');
  return out;
}

GString *
crowd_chunked_request (const char *head, size_t body_bytes, size_t chunk_bytes)
{
  GString *out = g_string_new (head);
  g_autofree char *chunk = g_strnfill (chunk_bytes, '1');
  size_t n;

  g_string_append (out, "Transfer-Encoding: chunked\r\n\r\n");
  for (n = 0; n + chunk_bytes < body_bytes; n += chunk_bytes)
    g_string_append_printf (out, "%zx\r\n%s\r\n", chunk_bytes, chunk);
  return out;
}

GString *
crowd_values_request (const char *head,
                      size_t body_bytes,
                      const char *begin,
                      const char *value,
                      const char *end)
{
  GString *out = g_string_new (head);
  size_t last = body_bytes - strlen (end);
  size_t head_len;

  g_string_append_printf (out, "Content-Length: %zu\r\n\r\n", body_bytes);
  head_len = out->len;
  g_string_append_printf (out, "%s%s", begin, value);
  while (out->len - head_len + 1 + strlen (value) <= last)
    g_string_append_printf (out, ",%s", value);
  while (out->len - head_len < last)
    g_string_append_c (out, ' ');
  g_string_append (out, end);
  return out;
}
