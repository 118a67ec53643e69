#include "base/event.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <stdbool.h>
#include <unistd.h>

#include "base/time.h"

/** Rate limit and burst of lines. An entry writes two lines for each job; this
 *  is four times the job rate of one entry in the largest deployment. */
#define LINES_PER_S 2000
#define LINES_BURST 2000

#define LINE_MAX_BYTES 1024

static char process_name[HS_EVENT_VALUE_SIZE] = "-";
static uint64_t dropped;
static uint64_t dropped_reported;
static HsTime refilled_at;
static int64_t tokens = LINES_BURST;

static bool take_token (HsTime now);
static void write_line (char *line, int len);

void
hs_event_init (const char *process)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  hs_event_sanitise (process, process_name);
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void
hs_event (const char *event, const char *format, ...)
{
  HsNow now = hs_now ();
  char line[LINE_MAX_BYTES];
  va_list args;
  int n;

  if (!take_token (now.mono))
    {
      dropped++;
      return;
    }
  n = snprintf (line, sizeof line, "time=%" PRId64 ".%03d process=%s event=%s ",
                now.wall_ms / 1000, (int) (now.wall_ms % 1000), process_name,
                event);
  va_start (args, format);
  n += g_vsnprintf (line + n, sizeof line - (size_t) n, format, args);
  va_end (args);
  write_line (line, MIN (n, LINE_MAX_BYTES - 1));
  if (dropped == dropped_reported)
    return;
  n = snprintf (line, sizeof line,
                "time=%" PRId64 ".%03d process=%s event=log_dropped "
                "lines=%" PRIu64,
                now.wall_ms / 1000, (int) (now.wall_ms % 1000), process_name,
                dropped - dropped_reported);
  dropped_reported = dropped;
  write_line (line, n);
}

const char *
hs_event_sanitise (const char *text, char out[HS_EVENT_VALUE_SIZE])
{
  size_t n = 0;

  for (; text != NULL && text[n] != '\0' && n < HS_EVENT_VALUE_SIZE - 1; n++)
    out[n] = text[n] > ' ' && text[n] < 0x7f && text[n] != '=' ? text[n] : '_';
  if (n == 0)
    out[n++] = '-';
  out[n] = '\0';
  return out;
}

uint64_t
hs_event_lines_dropped (void)
{
  return dropped;
}

static bool
take_token (HsTime now)
{
  int64_t earned = (now - refilled_at) * LINES_PER_S / HS_SEC;

  if (earned > 0)
    {
      tokens = MIN (tokens + earned, LINES_BURST);
      refilled_at = now;
    }
  if (tokens == 0)
    return false;
  tokens--;
  return true;
}

static void
write_line (char *line, int len)
{
  line[len] = '\n';
  if (write (STDOUT_FILENO, line, (size_t) len + 1) < 0)
    dropped++;
}
