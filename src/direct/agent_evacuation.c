/* Evacuations as an agent applies them. Its check is what enforces them: orders
   may have been sent before, or by an entry that doesn't know of them yet. */
#include <inttypes.h>

#include "base/event.h"
#include "direct/agent_private.h"

static void
on_change (void *arg, const HsEvacuationChange *change)
{
  char name[HS_EVENT_VALUE_SIZE];

  (void) arg;
  hs_event ("evacuation",
            "data_centre=%s revision=%" PRId64 " outcome=%s from=entry",
            hs_event_sanitise (change->data_centre, name), change->revision,
            change->begun ? "begun" : "ended");
}

void
hs_agent_evacuations_start (HsDirectAgent *agent)
{
  if (agent->settings->evacuation_limit <= 0)
    return;
  agent->evacuations = hs_evacuations_new (agent->runs, on_change, NULL);
  hs_runs_set_evacuated (agent->runs, true);
}

void
hs_agent_evacuations_receive (HsDirectAgent *agent,
                              const hsx_evacuations_args *args)
{
  if (agent->evacuations == NULL
      || !hs_evacuations_replace (
          agent->evacuations,
          (const char *const *) args->data_centres.data_centres_val,
          args->data_centres.data_centres_len, args->revision))
    return;
  hs_runs_set_evacuated (
      agent->runs, !hs_evacuations_may_start (agent->evacuations,
                                              agent->settings->data_centre));
  hs_direct_agent_schedule (agent);
}
