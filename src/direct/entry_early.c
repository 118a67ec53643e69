/* Requests that come in the first moments of an entry, while its first read of
   the configuration is under way. A read takes some milliseconds; refused,
   these callers would be lost. */
#include <string.h>

#include "base/event.h"
#include "direct/entry_private.h"

/** Kept at most so long; the store answers in 4 ms, and a caller that can't be
 *  served has to hear of it. */
#define KEEP_SPAN (100 * HS_MSEC)

/** Kept at most so many; what an entry takes in KEEP_SPAN after an outage. */
#define KEEP_MAX 200

typedef struct
{
  HsCallerRequest request;
  HsTime since;
} Early;

static Early *copy (TALLOC_CTX *ctx, const HsCallerRequest *request);

bool
hs_entry_early_keep (HsDirectEntry *entry,
                     const HsCallerRequest *request,
                     HsTime now)
{
  Early *early;

  if (entry->read_failed || entry->handing_on || entry->early->len == KEEP_MAX)
    return false;
  early = copy (entry, request);
  early->since = now;
  g_ptr_array_add (entry->early, early);
  hs_entry_schedule (entry, false);
  return true;
}

HsTime
hs_entry_early_tick (HsDirectEntry *entry, HsTime now)
{
  if (entry->early->len == 0)
    return HS_NEVER;
  entry->handing_on = true;
  while (entry->early->len > 0)
    {
      Early *early = g_ptr_array_index (entry->early, 0);

      if (entry->routes == NULL && !entry->read_failed
          && now < early->since + KEEP_SPAN)
        break;
      g_ptr_array_remove_index (entry->early, 0);
      if (early->request.time_left != HS_NEVER)
        early->request.time_left -= now - early->since;
      hs_entry_request (entry, &early->request);
      talloc_free (early);
    }
  entry->handing_on = false;
  if (entry->early->len == 0)
    return HS_NEVER;
  return ((Early *) g_ptr_array_index (entry->early, 0))->since + KEEP_SPAN;
}

void
hs_entry_early_drop (HsDirectEntry *entry, uint64_t handle)
{
  guint i;

  for (i = 0; i < entry->early->len; i++)
    {
      Early *early = g_ptr_array_index (entry->early, i);

      if (early->request.handle != handle)
        continue;
      g_ptr_array_remove_index (entry->early, i);
      talloc_free (early);
      return;
    }
}

static Early *
copy (TALLOC_CTX *ctx, const HsCallerRequest *from)
{
  Early *early = talloc_zero (ctx, Early);
  HsCallerJob *job = &early->request.job;

  early->request = *from;
  early->request.host = talloc_strdup (early, from->host);
  early->request.path = talloc_strdup (early, from->path);
  if (job->spec != NULL)
    job->spec = talloc_memdup (early, job->spec, job->spec_len + 1);
  return early;
}
