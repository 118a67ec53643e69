#include "policy/feasible.h"

/* Declared run times are often far off, so a task is refused as too late only
 * if its expected run time divided by this factor doesn't fit before the
 * deadline. */
#define OVERESTIMATE_FACTOR 2

/* The targets that have the same capacity. A fleet has few kinds of hosts, so a
 * linear search is enough. */
typedef struct
{
  hsx_needs capacity;
  uint32_t n_targets;
} CapacityClass;

struct HsFeasibleCapacities
{
  uint32_t n_classes;
  CapacityClass *classes;
};

static CapacityClass *find_class (const HsFeasibleCapacities *feasible,
                                  const hsx_needs *capacity);
static bool fits (const HsFeasibleCapacities *feasible, const hsx_needs *needs);

HsFeasibleCapacities *
hs_feasible_new (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, HsFeasibleCapacities);
}

void
hs_feasible_add_target (HsFeasibleCapacities *feasible,
                        const hsx_needs *capacity)
{
  CapacityClass *klass = find_class (feasible, capacity);

  if (klass == NULL)
    {
      feasible->classes = talloc_realloc (
          feasible, feasible->classes, CapacityClass, feasible->n_classes + 1);
      klass = &feasible->classes[feasible->n_classes++];
      *klass = (CapacityClass){ .capacity = *capacity };
    }
  klass->n_targets++;
}

void
hs_feasible_remove_target (HsFeasibleCapacities *feasible,
                           const hsx_needs *capacity)
{
  CapacityClass *klass = find_class (feasible, capacity);

  if (klass == NULL || --klass->n_targets > 0)
    return;
  *klass = feasible->classes[--feasible->n_classes];
}

HsFeasibility
hs_feasible_check (const HsFeasibleCapacities *feasible,
                   const hsx_needs *needs,
                   HsTime expected,
                   HsTime deadline,
                   HsTime now)
{
  if (deadline != HS_NEVER
      && (deadline <= now || expected / OVERESTIMATE_FACTOR > deadline - now))
    return HS_FEASIBLE_TOO_LATE;
  if (feasible->n_classes == 0)
    return HS_FEASIBLE_NO_TARGETS;
  return fits (feasible, needs) ? HS_FEASIBLE : HS_FEASIBLE_TOO_LARGE;
}

static CapacityClass *
find_class (const HsFeasibleCapacities *feasible, const hsx_needs *capacity)
{
  uint32_t i;

  for (i = 0; i < feasible->n_classes; i++)
    {
      CapacityClass *klass = &feasible->classes[i];

      if (klass->capacity.memory_mb == capacity->memory_mb
          && klass->capacity.accelerators == capacity->accelerators)
        return klass;
    }
  return NULL;
}

static bool
fits (const HsFeasibleCapacities *feasible, const hsx_needs *needs)
{
  uint32_t i;

  for (i = 0; i < feasible->n_classes; i++)
    {
      const hsx_needs *capacity = &feasible->classes[i].capacity;

      if (needs->memory_mb <= capacity->memory_mb
          && needs->accelerators <= capacity->accelerators)
        return true;
    }
  return false;
}
