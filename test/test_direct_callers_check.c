/* Since when callers may have been gone that an event loop finds gone, which
   stands still or is busy; against a model of the loop. */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "direct/callers_check.h"
#include "direct/liveness.h"

#define T0 (1000 * HS_SEC)
#define SPAN (2 * HS_SEC)

/** The loop serves one ready descriptor in this time. */
#define SERVE_TIME (200 * HS_USEC)

/** An entry has up to this many busy connections. */
#define MESSAGES_PER_SEC 1000

typedef struct
{
  HsTime ready_at;
  bool is_timer;
} Event;

static HsCallersCheck check;

/* Served in the order in which they became ready. */
static gint
compare (gconstpointer a, gconstpointer b, gpointer arg)
{
  const Event *x = a;
  const Event *y = b;

  (void) arg;
  return x->ready_at < y->ready_at ? -1 : x->ready_at > y->ready_at;
}

static GSequence *
events_of_callers (unsigned int per_sec)
{
  GSequence *events = g_sequence_new (g_free);
  HsTime at;

  for (at = T0; at < T0 + SPAN; at += HS_SEC / per_sec)
    {
      Event *event = g_new0 (Event, 1);

      event->ready_at = at;
      g_sequence_append (events, event);
    }
  return events;
}

static void
add_timer (GSequence *events, HsTime at)
{
  Event *event = g_new0 (Event, 1);

  event->ready_at = at;
  event->is_timer = true;
  g_sequence_insert_sorted (events, event, compare, NULL);
}

/* Plays a loop that stands still at @stall_at for @stall, in which each event
   is a caller that leaves. No caller may have left earlier than the check
   tells. Returns how much earlier it tells at most, for callers that are served
   later than @from. */
static HsTime
play (unsigned int per_sec, HsTime stall_at, HsTime stall, HsTime from)
{
  GSequence *events = events_of_callers (per_sec);
  HsTime now = T0;
  HsTime slack = 0;
  bool stalled = false;

  add_timer (events, T0 + hs_callers_check_begin (&check, T0));
  while (now < T0 + SPAN)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (events);
      Event event = *(Event *) g_sequence_get (first);

      g_sequence_remove (first);
      now = MAX (now, event.ready_at);
      if (now >= stall_at && !stalled)
        now += stall;
      stalled |= now >= stall_at;
      if (event.is_timer)
        add_timer (events, now + hs_callers_check_timer_served (&check, now));
      else
        {
          assert_true (event.ready_at >= check.checked_until);
          if (now >= from)
            slack = MAX (slack, now - check.checked_until);
        }
      now += SERVE_TIME;
    }
  g_sequence_free (events);
  return slack;
}

/* Guards against a lease that is renewed for too long: the entry found a caller
   gone that left while it stood still. */
static void
callers_that_leave_in_a_stall_left_after_the_last_check (void **state)
{
  HsTime stall_at;

  (void) state;
  for (stall_at = T0 + HS_SEC; stall_at < T0 + HS_SEC + 100 * HS_MSEC;
       stall_at += 1700 * HS_USEC)
    assert_in_range (
        play (MESSAGES_PER_SEC, stall_at, HS_PAUSE_MIN - HS_MSEC, T0),
        HS_PAUSE_MIN - 2 * HS_MSEC,
        HS_PAUSE_MIN + 4 * HS_CALLERS_CHECK_INTERVAL);
}

/* As above: the loop is busy, and falls behind. */
static void
callers_that_wait_for_a_busy_loop_left_after_the_last_check (void **state)
{
  (void) state;
  assert_true (play (6000, T0 + HS_SEC, 0, T0) > 100 * HS_MSEC);
}

/* Guards against a lease that ends early for all runs of a target, after each
   stop in calm, or long after a stall. */
static void
in_calm_the_check_is_recent (void **state)
{
  HsTime stall_at = T0 + HS_SEC / 2;

  (void) state;
  assert_in_range (play (MESSAGES_PER_SEC, T0 + SPAN, 0, T0), 0,
                   HS_CALLERS_CHECK_INTERVAL + HS_MSEC);
  assert_in_range (play (MESSAGES_PER_SEC, stall_at, HS_PAUSE_MIN - HS_MSEC,
                         stall_at + HS_SEC),
                   0, HS_CALLERS_CHECK_INTERVAL + HS_MSEC);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (callers_that_leave_in_a_stall_left_after_the_last_check),
    cmocka_unit_test (
        callers_that_wait_for_a_busy_loop_left_after_the_last_check),
    cmocka_unit_test (in_calm_the_check_is_recent),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
