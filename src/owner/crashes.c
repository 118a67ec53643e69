/**
 * @file
 * Customers whose tasks crash their targets: on which agents they are served.
 */
#include <inttypes.h>
#include <stdio.h>

#include "base/log.h"
#include "owner/internal.h"
#include "policy/rendezvous.h"

/** One in so many agents is in the reserve, at least one. */
#define RESERVE_DIVISOR 5

/** All targets serve all customers. */
#define SERVICE ""

static void log_changes (HsOwner *owner);

void
hs_owner_target_crashed (HsOwner *owner, const hsx_crash *crash, HsNow now)
{
  HsCrashSuspect suspects[HSX_CRASH_TASKS_MAX];
  HsCrashEvidence evidence = { .service = SERVICE, .suspects = suspects };
  uint32_t handle;
  const Agent *agent = agent_find (owner, crash->agent, &handle);
  uint32_t i;

  evidence.at = now.mono - (HsTime) crash->ago_us;
  evidence.reserved = agent != NULL && agent->reserve;
  evidence.n_targets = owner->n_up;
  evidence.n_suspects = crash->customers.customers_len;
  for (i = 0; i < evidence.n_suspects; i++)
    {
      const hsx_crash_customer *customer = &crash->customers.customers_val[i];

      suspects[i].customer = customer->name;
      suspects[i].age = customer->age_us;
      suspects[i].jobs_per_s = customer->jobs_milli / 1000.0;
    }
  hs_containment_add_crash (owner->containment, &evidence, now.mono);
  log_changes (owner);
  dispatch_tasks (owner, now);
}

uint32_t
customer_containment (HsOwner *owner, const char *customer)
{
  return hs_containment_customer (owner->containment, SERVICE, customer);
}

HsCreditGroup
customer_credit_group (const HsOwner *owner, const Customer *customer)
{
  if (hs_containment_is_contained (owner->containment, customer->containment))
    return HS_CREDITS_RESERVE;
  if (owner->n_up > owner->n_reserve
      && hs_containment_is_active (owner->containment, SERVICE))
    return HS_CREDITS_COMMON;
  return HS_CREDITS_ALL;
}

/* The agents whose incarnations have the lowest hashes, so that all entries
   choose the same. */
void
choose_reserve (HsOwner *owner)
{
  g_autofree HsCandidate *candidates = g_new0 (HsCandidate, owner->n_agents);
  char name[20];
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < owner->n_agents; i++)
    if (owner->agents[i].counted_feasible)
      {
        snprintf (name, sizeof name, "%016" PRIx64,
                  owner->agents[i].incarnation);
        candidates[n++].hash = hs_rendezvous_hash (SERVICE, name);
      }
  owner->n_up = n;
  owner->n_reserve = MAX (n / RESERVE_DIVISOR, 1);
  hs_rendezvous_choose (candidates, n, owner->n_reserve);
  n = 0;
  for (i = 0; i < owner->n_agents; i++)
    {
      Agent *agent = &owner->agents[i];

      agent->reserve = agent->counted_feasible && candidates[n++].chosen;
      hs_credits_set_reserve (owner->credits, i, agent->reserve);
    }
}

void
release_contained (HsOwner *owner, HsTime now)
{
  hs_containment_tick (owner->containment, now);
  log_changes (owner);
}

static void
log_changes (HsOwner *owner)
{
  HsContainmentChange change;

  while (hs_containment_next_change (owner->containment, &change))
    {
      owner->stats.contained += change.contained;
      if (change.contained)
        hs_warn ("owner",
                 "tasks of customer %s crash their targets; it is served on %u "
                 "of %u targets until they no longer do",
                 change.customer, owner->n_reserve, owner->n_up);
      else
        hs_info ("owner", "customer %s is served on all targets again",
                 change.customer);
    }
}
