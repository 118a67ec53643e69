#include "direct/callers_check.h"

#include "direct/liveness.h"

HsTime
hs_callers_check_begin (HsCallersCheck *check, HsTime now)
{
  check->checked_until = now;
  check->mark_at = now + HS_CALLERS_CHECK_INTERVAL;
  return HS_CALLERS_CHECK_INTERVAL;
}

HsTime
hs_callers_check_timer_served (HsCallersCheck *check, HsTime now)
{
  check->checked_until = check->mark_at;
  check->mark_at = now + HS_CALLERS_CHECK_INTERVAL;
  return HS_CALLERS_CHECK_INTERVAL;
}
