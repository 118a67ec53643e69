#include "balancer.h"

/* A common period of health checks. */
#define PASSED_OVER (1 * HS_SEC)

struct Balancer
{
  uint32_t n;
  HsTime *usable_from; /* By entry. */
};

Balancer *
balancer_new (TALLOC_CTX *ctx, uint32_t n_entries)
{
  Balancer *balancer = talloc_zero (ctx, Balancer);

  balancer->n = n_entries;
  balancer->usable_from = talloc_zero_array (balancer, HsTime, n_entries);
  return balancer;
}

void
balancer_refused (Balancer *balancer, uint32_t entry, HsTime now)
{
  balancer->usable_from[entry] = now + PASSED_OVER;
}

bool
balancer_has_entry (const Balancer *balancer, HsTime now)
{
  uint32_t i;

  for (i = 0; i < balancer->n; i++)
    if (now >= balancer->usable_from[i])
      return true;
  return false;
}

uint32_t
balancer_pick (const Balancer *balancer, uint32_t wanted, HsTime now)
{
  uint32_t first = wanted % balancer->n;
  uint32_t i;

  for (i = 0; i < balancer->n; i++)
    {
      uint32_t entry = (first + i) % balancer->n;

      if (now >= balancer->usable_from[entry])
        return entry;
    }
  return first;
}
