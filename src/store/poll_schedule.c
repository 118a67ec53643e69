#include "store/poll_schedule.h"

#include <glib.h>

HsTime
hs_poll_schedule_wait (const HsPollSchedule *schedule)
{
  (void) schedule;
  return HS_POLL_WAIT;
}

HsTime
hs_poll_schedule_limit (const HsPollSchedule *schedule, HsTime timeout)
{
  return hs_poll_schedule_wait (schedule) + timeout;
}

void
hs_poll_schedule_answered (HsPollSchedule *schedule)
{
  schedule->pause = 0;
}

HsTime
hs_poll_schedule_failed (HsPollSchedule *schedule)
{
  schedule->pause
      = CLAMP (2 * schedule->pause, HS_POLL_PAUSE_MIN, HS_POLL_PAUSE_MAX);
  return schedule->pause;
}
