#include "balancer.h"

/* Time for which an entry is skipped: a usual interval of health checks. */
#define SKIP_TIME (1 * HS_SEC)

struct Balancer
{
  uint32_t n_entries;
  HsTime *usable_from; /* By entry: the end of the time it is skipped. */
};

Balancer *
balancer_new (TALLOC_CTX *ctx, uint32_t n_entries)
{
  Balancer *balancer = talloc_zero (ctx, Balancer);

  balancer->n_entries = n_entries;
  balancer->usable_from = talloc_zero_array (balancer, HsTime, n_entries);
  return balancer;
}

void
balancer_connection_refused (Balancer *balancer, uint32_t entry, HsTime now)
{
  balancer->usable_from[entry] = now + SKIP_TIME;
}

bool
balancer_has_usable_entry (const Balancer *balancer, HsTime now)
{
  uint32_t i;

  for (i = 0; i < balancer->n_entries; i++)
    if (now >= balancer->usable_from[i])
      return true;
  return false;
}

uint32_t
balancer_pick (const Balancer *balancer, uint32_t preferred, HsTime now)
{
  uint32_t first = preferred % balancer->n_entries;
  uint32_t i;

  for (i = 0; i < balancer->n_entries; i++)
    {
      uint32_t entry = (first + i) % balancer->n_entries;

      if (now >= balancer->usable_from[entry])
        return entry;
    }
  return first;
}
