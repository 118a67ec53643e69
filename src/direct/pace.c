#include "direct/pace.h"

#include <glib.h>

/** A pace is judged over this at least: the clock and the progress are told in
 *  whole milliseconds and hundredths. */
#define SPAN_MIN (15 * HS_MSEC)

/** It begins anew after the larger of this and a part of the usual run: a run
 *  at its usual pace has moved by a tenth then. */
#define SPAN_MAX (100 * HS_MSEC)
#define SPAN_PARTS 10

#define WHOLE 100

void
hs_pace_note (HsPace *pace, int percent, HsTime usual, HsTime now)
{
  if (percent < 0)
    return;
  if (pace->at != 0 && now - pace->at < MAX (SPAN_MAX, usual / SPAN_PARTS))
    return;
  pace->at = now;
  pace->percent = percent;
}

HsTime
hs_pace_total (const HsPace *pace, int percent, HsTime now)
{
  HsTime span = now - pace->at;

  if (pace->at == 0 || percent < pace->percent || span < SPAN_MIN)
    return 0;
  /* Hundredths are rounded down at both ends: it moved by less than one more
     than they differ. */
  return span * WHOLE / (percent - pace->percent + 1);
}

HsTime
hs_pace_left (const HsPace *pace, int percent, HsTime now)
{
  return hs_pace_total (pace, percent, now) * (WHOLE - percent) / WHOLE;
}
