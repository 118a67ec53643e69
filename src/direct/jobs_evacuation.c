/* What an evacuation of data centres changes for the jobs of an entry. */
#include <glib.h>

#include "direct/jobs_private.h"

/* Processors of all targets that may be used, in thousandths of a core. */
static uint64_t
usable_milli (const HsJobs *jobs)
{
  uint64_t sum = 0;
  uint32_t i;

  for (i = 0; i < hs_targets_table_size (jobs->targets); i++)
    {
      const HsTarget *target = hs_targets_get (jobs->targets, i);

      if (target->in_use && !target->evacuated
          && target->state == HSX_TARGET_READY)
        sum += target->capacity.cpu_milli;
    }
  return sum;
}

/* The rates at which tasks were started predict the waits of new jobs: with
   half of the targets, they halve at once. */
void
hs_jobs_set_evacuations (HsJobs *jobs, const HsEvacuations *evacuations)
{
  uint64_t before = usable_milli (jobs);
  double factor;

  hs_targets_set_evacuations (jobs->targets, evacuations);
  if (before == 0)
    return;
  factor = (double) usable_milli (jobs) / (double) before;
  hs_service_rate_scale (&jobs->rate, factor);
  hs_service_rate_scale (&jobs->reserve_rate, factor);
}

bool
hs_job_is_evacuated (const HsJobs *jobs, const HsJob *job)
{
  return job->n_sent == 0 && job->n_done == 0 && !job->may_have_run
         && hs_targets_are_evacuated (jobs->targets, job->service, &job->needs);
}
