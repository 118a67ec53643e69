#include "direct/entry_lookup.h"

#include "direct/liveness.h"

/** Time without a connection to any entry after which the store is read: dials
 *  of known entries come first. */
#define ALONE_SPAN (400 * HS_MSEC)

/** Minimum time between two reads. */
#define READ_INTERVAL (1 * HS_SEC)

bool
hs_entry_lookup_due (HsEntryLookup *lookup, bool connected, HsTime now)
{
  if (connected)
    lookup->alone_since = 0;
  else if (lookup->alone_since == 0)
    lookup->alone_since = now;
  if (lookup->pending)
    return false;
  if (lookup->asked_at != 0)
    {
      HsTime age = now - lookup->asked_at;
      bool alone = !connected && now - lookup->alone_since >= ALONE_SPAN;

      if (age < READ_INTERVAL || (!alone && age < HS_ENTRIES_REFRESH_INTERVAL))
        return false;
    }
  lookup->asked_at = now;
  lookup->pending = true;
  return true;
}

void
hs_entry_lookup_done (HsEntryLookup *lookup)
{
  lookup->pending = false;
}
