#include "ideal.h"

#include <glib.h>

static void sift_down (HsTime *free_at, uint32_t slots);

void
ideal_run (IdealJob *jobs, size_t n_jobs, uint32_t slots)
{
  /* A binary heap of the times at which the slots are free; the first slot
   * that is free is at its top. */
  HsTime *free_at = g_new0 (HsTime, slots);
  size_t i;
  uint32_t t;

  for (i = 0; i < slots; i++)
    free_at[i] = INT64_MIN;
  for (i = 0; i < n_jobs; i++)
    {
      HsTime last = jobs[i].arrival;

      for (t = 0; t < jobs[i].n_tasks; t++)
        {
          free_at[0]
              = MAX (free_at[0], jobs[i].arrival) + jobs[i].run_ms[t] * HS_MSEC;
          last = MAX (last, free_at[0]);
          sift_down (free_at, slots);
        }
      jobs[i].response = last - jobs[i].arrival;
    }
  g_free (free_at);
}

static void
sift_down (HsTime *free_at, uint32_t slots)
{
  HsTime moved = free_at[0];
  uint32_t at = 0;
  uint32_t child;

  while ((child = 2 * at + 1) < slots)
    {
      if (child + 1 < slots && free_at[child + 1] < free_at[child])
        child++;
      if (free_at[child] >= moved)
        break;
      free_at[at] = free_at[child];
      at = child;
    }
  free_at[at] = moved;
}
