#include "store/poll_schedule.h"

HsTime
hs_poll_schedule_wait (const HsPollSchedule *schedule)
{
  return schedule->pause == 0 ? HS_POLL_WAIT : HS_POLL_PROBE_WAIT;
}

HsTime
hs_poll_schedule_limit (const HsPollSchedule *schedule)
{
  return schedule->pause == 0 ? HS_POLL_WAIT + HS_POLL_SLACK
                              : HS_POLL_PROBE_WAIT + HS_POLL_PROBE_SLACK;
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
