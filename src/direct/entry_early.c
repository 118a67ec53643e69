/* Holds requests that arrive while an entry's first read of the configuration
   is in flight. The read takes some milliseconds; callers that were refused
   meanwhile would be lost. */
#include <string.h>

#include "base/event.h"
#include "direct/entry_private.h"

/** Maximum time that a request is held; the store answers in 4 ms, and a caller
 *  that can't be served has to be told so. */
#define HOLD_TIME_MAX (100 * HS_MSEC)

/** Maximum number of held requests: as many as an entry receives within
 *  HOLD_TIME_MAX after an outage. */
#define HELD_REQUESTS_MAX 200

typedef struct
{
  HsCallerRequest request;
  HsTime received_at;
} EarlyRequest;

static EarlyRequest *copy_request (TALLOC_CTX *ctx,
                                   const HsCallerRequest *request);

bool
hs_entry_early_hold (HsDirectEntry *entry,
                     const HsCallerRequest *request,
                     HsTime now)
{
  EarlyRequest *early;

  if (entry->config_read_failed || entry->replaying_early
      || entry->early_requests->len == HELD_REQUESTS_MAX)
    return false;
  early = copy_request (entry, request);
  early->received_at = now;
  g_ptr_array_add (entry->early_requests, early);
  hs_entry_schedule (entry, false);
  return true;
}

HsTime
hs_entry_early_tick (HsDirectEntry *entry, HsTime now)
{
  if (entry->early_requests->len == 0)
    return HS_NEVER;
  entry->replaying_early = true;
  while (entry->early_requests->len > 0)
    {
      EarlyRequest *early = g_ptr_array_index (entry->early_requests, 0);

      if (entry->routes == NULL && !entry->config_read_failed
          && now < early->received_at + HOLD_TIME_MAX)
        break;
      g_ptr_array_remove_index (entry->early_requests, 0);
      if (early->request.time_left != HS_NEVER)
        early->request.time_left -= now - early->received_at;
      hs_entry_handle_request (entry, &early->request);
      talloc_free (early);
    }
  entry->replaying_early = false;
  if (entry->early_requests->len == 0)
    return HS_NEVER;
  return ((EarlyRequest *) g_ptr_array_index (entry->early_requests, 0))
             ->received_at
         + HOLD_TIME_MAX;
}

void
hs_entry_early_drop (HsDirectEntry *entry, uint64_t handle)
{
  guint i;

  for (i = 0; i < entry->early_requests->len; i++)
    {
      EarlyRequest *early = g_ptr_array_index (entry->early_requests, i);

      if (early->request.handle != handle)
        continue;
      g_ptr_array_remove_index (entry->early_requests, i);
      talloc_free (early);
      return;
    }
}

static EarlyRequest *
copy_request (TALLOC_CTX *ctx, const HsCallerRequest *from)
{
  EarlyRequest *early = talloc_zero (ctx, EarlyRequest);
  HsCallerJob *job = &early->request.job;

  early->request = *from;
  early->request.host = talloc_strdup (early, from->host);
  early->request.path = talloc_strdup (early, from->path);
  if (job->spec != NULL)
    job->spec = talloc_memdup (early, job->spec, job->spec_len + 1);
  return early;
}
