/* How soon a watch learns of a change made while the store, or the connections
   to it, were silent; in fake time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "store/poll_schedule.h"

/** The smallest `platform.bounds.contact_ms` of a deployment: processes count
 *  as in touch this long after a disruption. */
#define CONTACT (3 * HS_SEC)

/** The store's answers: 4 ms, and 50 times that when it is slow. */
#define ANSWER (4 * HS_MSEC)
#define SLOW_ANSWER (200 * HS_MSEC)

#define STEP (5 * HS_MSEC)
#define MINUTE (60 * HS_SEC)

/* Whether a poll is answered: it was sent after the silence, or answered
   before. The connection of one that waits when the silence begins stays
   silent. */
static bool
is_answered (HsTime sent, HsTime answered, HsTime from, HsTime until)
{
  return answered < from || sent >= until;
}

/* When the watch knows a change that is made at @until, the end of a silence
   that begins at @from. The first poll is sent at 0; the store holds polls back
   for as long as they ask, and answers those that find a change at once.
   @answer: time that an answer takes besides */
static HsTime
learn_of_change (HsTime from, HsTime until, HsTime answer)
{
  HsPollSchedule schedule = { 0 };
  HsTime sent = 0;

  for (;;)
    {
      HsTime wait = hs_poll_schedule_wait (&schedule);
      HsTime answered = sent + (sent >= until ? 0 : wait) + answer;

      if (is_answered (sent, answered, from, until))
        {
          if (sent >= until)
            return answered;
          hs_poll_schedule_answered (&schedule);
          sent = answered;
          continue;
        }
      sent += hs_poll_schedule_limit (&schedule);
      sent += hs_poll_schedule_failed (&schedule);
    }
}

/* Guards against an old configuration in force: the change was acknowledged
   right after the connections went silent, and new ones work. */
static void
a_change_is_known_in_time_after_connections_went_silent (void **state)
{
  HsTime from;

  (void) state;
  for (from = 0; from < HS_POLL_WAIT; from += STEP)
    assert_in_range (learn_of_change (from, from + STEP, ANSWER) - from, 0,
                     CONTACT - SLOW_ANSWER);
}

/* The same after the store was silent for any time: the pause between polls has
   grown meanwhile, and a poll sent in the silence is lost with it. */
static void
a_change_is_known_in_time_after_the_store_was_silent (void **state)
{
  HsTime from;
  HsTime length;

  (void) state;
  for (from = 0; from < HS_POLL_WAIT; from += 20 * STEP)
    for (length = STEP; length < MINUTE / 4; length += STEP)
      assert_in_range (learn_of_change (from, from + length, ANSWER)
                           - (from + length),
                       0, CONTACT - SLOW_ANSWER);
}

/* Guards against changes that are never heard of: a store slower than known
   ones answers each call almost a second late. */
static void
a_change_is_known_from_a_very_slow_store (void **state)
{
  HsPollSchedule schedule = { 0 };
  HsTime late = 900 * HS_MSEC;

  (void) state;
  assert_true (hs_poll_schedule_limit (&schedule) < HS_POLL_WAIT + late);
  hs_poll_schedule_failed (&schedule);
  assert_true (hs_poll_schedule_limit (&schedule)
               > hs_poll_schedule_wait (&schedule) + late);
}

/* Guards against charged calls: one poll each two seconds in calm, also when
   the store is slow. */
static void
polls_in_calm_are_two_seconds_apart (void **state)
{
  HsPollSchedule schedule = { 0 };

  (void) state;
  assert_int_equal (hs_poll_schedule_wait (&schedule), 2 * HS_SEC);
  assert_true (hs_poll_schedule_limit (&schedule)
               >= 2 * HS_SEC + 2 * SLOW_ANSWER);
  hs_poll_schedule_failed (&schedule);
  hs_poll_schedule_answered (&schedule);
  assert_int_equal (hs_poll_schedule_wait (&schedule), 2 * HS_SEC);
}

/* Guards against more calls while the store is down than in calm. */
static void
polls_of_a_silent_store_are_no_more_frequent (void **state)
{
  HsPollSchedule schedule = { 0 };
  HsTime now = 0;
  uint32_t n = 0;

  (void) state;
  for (; now < MINUTE; n++)
    {
      now += hs_poll_schedule_limit (&schedule);
      now += hs_poll_schedule_failed (&schedule);
    }
  assert_in_range (n, 1, MINUTE / HS_POLL_WAIT);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_change_is_known_in_time_after_connections_went_silent),
    cmocka_unit_test (a_change_is_known_in_time_after_the_store_was_silent),
    cmocka_unit_test (a_change_is_known_from_a_very_slow_store),
    cmocka_unit_test (polls_in_calm_are_two_seconds_apart),
    cmocka_unit_test (polls_of_a_silent_store_are_no_more_frequent),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
