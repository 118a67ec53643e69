/* Holds requests that arrive while an entry's first read of the configuration
   is in flight. The read takes some milliseconds; without holding them,
   requests that arrive meanwhile would be refused, and their jobs lost. */
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
} HeldRequest;

static HeldRequest *copy_request (TALLOC_CTX *ctx,
                                  const HsCallerRequest *request);

bool
hs_entry_held_requests_add (HsDirectEntry *entry,
                            const HsCallerRequest *request,
                            HsTime now)
{
  HeldRequest *held;

  if (entry->config_read_failed || entry->processing_held
      || entry->held_requests->len == HELD_REQUESTS_MAX)
    return false;
  held = copy_request (entry, request);
  held->received_at = now;
  g_ptr_array_add (entry->held_requests, held);
  hs_entry_schedule (entry, false);
  return true;
}

HsTime
hs_entry_held_requests_tick (HsDirectEntry *entry, HsTime now)
{
  if (entry->held_requests->len == 0)
    return HS_NEVER;
  entry->processing_held = true;
  while (entry->held_requests->len > 0)
    {
      HeldRequest *held = g_ptr_array_index (entry->held_requests, 0);

      if ((entry->routes == NULL || !hs_entry_evacuations_allow_jobs (entry))
          && !entry->config_read_failed
          && now < held->received_at + HOLD_TIME_MAX)
        break;
      g_ptr_array_remove_index (entry->held_requests, 0);
      if (held->request.time_left != HS_NEVER)
        held->request.time_left -= now - held->received_at;
      hs_entry_handle_request (entry, &held->request);
      talloc_free (held);
    }
  entry->processing_held = false;
  if (entry->held_requests->len == 0)
    return HS_NEVER;
  return ((HeldRequest *) g_ptr_array_index (entry->held_requests, 0))
             ->received_at
         + HOLD_TIME_MAX;
}

void
hs_entry_held_requests_drop (HsDirectEntry *entry, uint64_t handle)
{
  guint i;

  for (i = 0; i < entry->held_requests->len; i++)
    {
      HeldRequest *held = g_ptr_array_index (entry->held_requests, i);

      if (held->request.handle != handle)
        continue;
      g_ptr_array_remove_index (entry->held_requests, i);
      talloc_free (held);
      return;
    }
}

static HeldRequest *
copy_request (TALLOC_CTX *ctx, const HsCallerRequest *from)
{
  HeldRequest *held = talloc_zero (ctx, HeldRequest);
  HsCallerJob *job = &held->request.job;

  held->request = *from;
  held->request.host = talloc_strdup (held, from->host);
  held->request.path = talloc_strdup (held, from->path);
  if (job->spec != NULL)
    job->spec = talloc_memdup (held, job->spec, job->spec_len + 1);
  return held;
}
