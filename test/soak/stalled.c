#include "stalled.h"

#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "../platform_cluster.h"

#define CONNECTIONS 50

/** Of the body that is announced, below the limit of 262,144 bytes, this much
 *  is sent. */
#define BODY_BYTES 262000
#define SENT_BYTES 200000

/** Each second connection sends a complete body of small values instead, which
 *  is no job. */
#define VALUE "{\"a\":{}},"
#define VALUES_BEGIN "{\"x\":["
#define VALUES_END "{}]}"

/** The connections stay open this long, which includes the time to send. */
#define OPEN_MS 2000
#define POLL_MS 20

/** The job's id is above those of the jobs that are checked. */
#define REQUEST_HEAD                                                           \
  "POST /q/00000000fffffff0 HTTP/1.1\r\nHost: h.example\r\n"                   \
  "X-Hibiscusspoke-Deadline-Ms: 3000\r\n"                                      \
  "Content-Length: %d\r\n\r\n"

static GString *
stalled_request (void)
{
  GString *out = g_string_new (NULL);

  g_string_printf (out, REQUEST_HEAD "%*s", BODY_BYTES, SENT_BYTES, "");
  return out;
}

static GString *
values_request (void)
{
  GString *out = g_string_new (NULL);
  gsize end;

  g_string_printf (out, REQUEST_HEAD, BODY_BYTES);
  end = out->len + BODY_BYTES - strlen (VALUES_END);
  g_string_append (out, VALUES_BEGIN);
  while (out->len + strlen (VALUE) <= end)
    g_string_append (out, VALUE);
  g_string_append_printf (out, "%*s" VALUES_END, (int) (end - out->len), "");
  return out;
}

/* Sends more on each connection that takes more.
   @param data of the connections with an even and with an odd number */
static void
send_more (struct pollfd *polls, gsize *offsets, GString *const data[2])
{
  int i;

  for (i = 0; i < CONNECTIONS; i++)
    {
      const GString *out = data[i % 2];
      ssize_t n;

      if (offsets[i] == out->len || (polls[i].revents & POLLOUT) == 0)
        continue;
      n = send (polls[i].fd, out->str + offsets[i], out->len - offsets[i],
                MSG_NOSIGNAL);
      if (n > 0)
        offsets[i] += (gsize) n;
      if (offsets[i] == out->len)
        polls[i].events = 0;
    }
}

void
stalled_callers_run (const char *address)
{
  GString *const data[2] = { stalled_request (), values_request () };
  struct pollfd polls[CONNECTIONS];
  gsize offsets[CONNECTIONS] = { 0 };
  gint64 end = g_get_monotonic_time () + OPEN_MS * INT64_C (1000);
  int i;

  for (i = 0; i < CONNECTIONS; i++)
    polls[i] = (struct pollfd){ cluster_dial (address), POLLOUT, 0 };
  while (g_get_monotonic_time () < end)
    {
      if (poll (polls, CONNECTIONS, POLL_MS) > 0)
        send_more (polls, offsets, data);
      g_usleep (POLL_MS * 1000);
    }
  for (i = 0; i < CONNECTIONS; i++)
    if (polls[i].fd >= 0)
      close (polls[i].fd);
  g_string_free (data[0], TRUE);
  g_string_free (data[1], TRUE);
}
