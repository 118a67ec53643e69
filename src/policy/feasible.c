#include "policy/feasible.h"

/* Declared run times are often far off: a task is refused only if the
 * expected run time over this doesn't fit before the deadline. */
#define EXPECTED_DOUBT 2

/* Targets of the same capacity. Fleets have few kinds of hosts. */
typedef struct
{
  hsx_needs capacity;
  uint32_t n_targets;
} Kind;

struct HsFeasible
{
  uint32_t n_kinds;
  Kind *kinds;
};

static Kind *find (const HsFeasible *feasible, const hsx_needs *capacity);
static bool fits (const HsFeasible *feasible, const hsx_needs *needs);

HsFeasible *
hs_feasible_new (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, HsFeasible);
}

void
hs_feasible_add (HsFeasible *feasible, const hsx_needs *capacity)
{
  Kind *kind = find (feasible, capacity);

  if (kind == NULL)
    {
      feasible->kinds = talloc_realloc (feasible, feasible->kinds, Kind,
                                        feasible->n_kinds + 1);
      kind = &feasible->kinds[feasible->n_kinds++];
      *kind = (Kind){ .capacity = *capacity };
    }
  kind->n_targets++;
}

void
hs_feasible_remove (HsFeasible *feasible, const hsx_needs *capacity)
{
  Kind *kind = find (feasible, capacity);

  if (kind == NULL || --kind->n_targets > 0)
    return;
  *kind = feasible->kinds[--feasible->n_kinds];
}

HsFeasibility
hs_feasible_check (const HsFeasible *feasible,
                   const hsx_needs *needs,
                   HsTime expected,
                   HsTime deadline,
                   HsTime now)
{
  if (deadline != HS_NEVER
      && (deadline <= now || expected / EXPECTED_DOUBT > deadline - now))
    return HS_FEASIBLE_TOO_LATE;
  if (feasible->n_kinds == 0)
    return HS_FEASIBLE_NO_TARGETS;
  return fits (feasible, needs) ? HS_FEASIBLE : HS_FEASIBLE_TOO_LARGE;
}

static Kind *
find (const HsFeasible *feasible, const hsx_needs *capacity)
{
  uint32_t i;

  for (i = 0; i < feasible->n_kinds; i++)
    {
      Kind *kind = &feasible->kinds[i];

      if (kind->capacity.memory_mb == capacity->memory_mb
          && kind->capacity.accelerators == capacity->accelerators)
        return kind;
    }
  return NULL;
}

static bool
fits (const HsFeasible *feasible, const hsx_needs *needs)
{
  uint32_t i;

  for (i = 0; i < feasible->n_kinds; i++)
    {
      const hsx_needs *capacity = &feasible->kinds[i].capacity;

      if (needs->memory_mb <= capacity->memory_mb
          && needs->accelerators <= capacity->accelerators)
        return true;
    }
  return false;
}
