/* The reserve and the common targets of a service; see HsTargetGroup. */
#include <string.h>

#include "policy/rendezvous.h"
#include "direct/targets_private.h"

/** One in so many targets of a service is in the reserve, at least one. */
#define RESERVE_DIVISOR 5

/** While one in so many targets of a service is down after a crash, contained
 *  customers start nothing. */
#define CRASHED_DIVISOR 3

static HsServiceSummary summarise (HsTargets *targets, const char *service);
static bool is_of_service (const HsTarget *target, const char *service);

bool
hs_targets_any_ready (HsTargets *targets,
                      const char *service,
                      HsTargetGroup group)
{
  HsServiceSummary summary = summarise (targets, service);

  switch (group)
    {
    case HS_TARGETS_RESERVE:
      return summary.reserve_ready;
    case HS_TARGETS_COMMON:
      return summary.common_ready;
    case HS_TARGETS_ALL:
      break;
    }
  return summary.reserve_ready || summary.common_ready;
}

uint32_t
hs_targets_count (HsTargets *targets, const char *service)
{
  return summarise (targets, service).n;
}

bool
hs_targets_host_crashed (HsTargets *targets,
                         const char *service,
                         const char *host)
{
  uint32_t i;

  for (i = 0; i < targets->n_rows; i++)
    {
      HsTarget *target = &targets->rows[i].target;

      if (!is_of_service (target, service) || strcmp (target->host, host) != 0)
        continue;
      target->crashed = target->state != HSX_TARGET_READY;
      targets->n_services = 0;
      return target->reserve;
    }
  return false;
}

bool
hs_targets_reserve_is_open (HsTargets *targets, const char *service)
{
  HsServiceSummary summary = summarise (targets, service);

  return summary.reserve_ready
         && summary.n_crashed * CRASHED_DIVISOR < summary.n;
}

bool
hs_target_in_group (const HsTarget *target, HsTargetGroup group)
{
  switch (group)
    {
    case HS_TARGETS_RESERVE:
      return target->reserve;
    case HS_TARGETS_COMMON:
      return !target->reserve;
    case HS_TARGETS_ALL:
      break;
    }
  return true;
}

/* The reserve is made of the targets whose hosts have the lowest hashes, so
   that entries which know different targets choose nearly the same. An
   evacuated target keeps its group for what still runs there; another one
   takes its place. */
void
hs_targets_choose_reserve (HsTargets *targets, const char *service)
{
  g_autoptr (GArray) candidates
      = g_array_new (FALSE, FALSE, sizeof (HsCandidate));
  guint n = 0;
  uint32_t i;

  targets->n_services = 0;
  for (i = 0; i < targets->n_rows; i++)
    {
      const HsTarget *target = &targets->rows[i].target;
      HsCandidate candidate = { 0 };

      if (!is_of_service (target, service) || target->evacuated)
        continue;
      candidate.hash = hs_rendezvous_hash (service, target->host);
      g_array_append_val (candidates, candidate);
    }
  hs_rendezvous_choose ((HsCandidate *) (void *) candidates->data,
                        candidates->len,
                        MAX (candidates->len / RESERVE_DIVISOR, 1));
  for (i = 0; i < targets->n_rows; i++)
    {
      HsTarget *target = &targets->rows[i].target;

      if (is_of_service (target, service) && !target->evacuated)
        target->reserve = g_array_index (candidates, HsCandidate, n++).chosen;
    }
}

static HsServiceSummary
summarise (HsTargets *targets, const char *service)
{
  HsServiceSummary summary = { 0 };
  uint32_t i;

  for (i = 0; i < targets->n_services; i++)
    if (strcmp (targets->services[i].service, service) == 0)
      return targets->services[i];
  g_strlcpy (summary.service, service, sizeof summary.service);
  for (i = 0; i < targets->n_rows; i++)
    {
      const HsTarget *target = &targets->rows[i].target;
      bool ready = target->connected && !target->evacuated
                   && target->state == HSX_TARGET_READY;

      if (!is_of_service (target, service))
        continue;
      summary.n++;
      summary.n_crashed += target->crashed;
      summary.reserve_ready |= ready && target->reserve;
      summary.common_ready |= ready && !target->reserve;
    }
  if (targets->n_services < HS_SERVICES_CACHED)
    targets->services[targets->n_services++] = summary;
  return summary;
}

static bool
is_of_service (const HsTarget *target, const char *service)
{
  return target->in_use && strcmp (target->service, service) == 0;
}
