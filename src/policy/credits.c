#include "policy/credits.h"

#include "policy/random.h"

#define NONE UINT32_MAX

/* So many agents are compared for one task; more changes little. */
#define SAMPLES 4

/* Each target on probation is given a task about this often although healthy
 * ones serve, so that it can prove itself. */
#define PROBE_PERIOD (5 * HS_SEC)

/* Agents that have an idle credit which may be used now, by trust. */
typedef enum
{
  LIST_OK,
  LIST_PROBATION,
  N_LISTS,
  LIST_NONE = N_LISTS
} ListId;

typedef struct
{
  bool known;
  HsHealthState health;
  hsx_needs capacity;
  uint32_t in_use;
  HsAgentCredits held;
  uint32_t n_counted; /* Idle credits, while healthy. */
  ListId list;
  uint32_t position; /* In its list. */
} Agent;

typedef struct
{
  uint32_t *agents;
  uint32_t n;
} List;

/* What a task wants of an agent, and which agents it avoids. */
typedef struct
{
  hsx_needs needs;
  const uint32_t *avoided;
  uint32_t n_avoided;
} Wish;

struct HsCredits
{
  uint64_t random;
  HsTime probe_at;
  uint32_t n_agents;
  uint32_t n_known;
  uint32_t n_healthy;
  uint32_t n_idle; /* Sum of Agent.n_counted. */
  uint32_t n_in_use;
  Agent *agents;
  List lists[N_LISTS];
};

static Agent *lookup (const HsCredits *pool, uint32_t agent);
static void agents_reserve (HsCredits *pool, uint32_t agent);
static ListId list_of (const Agent *agent);
static void relist (HsCredits *pool, uint32_t agent);
static void recount (HsCredits *pool, Agent *a);
static void enlist (HsCredits *pool, uint32_t agent, ListId id);
static void unlist (HsCredits *pool, uint32_t agent);
static bool
is_usable (HsCredits *pool, Agent *a, HsTime now, HsTime lease_left);
static void drop_expired (HsCredits *pool, HsTime now, HsTime lease_left);
static bool fits (const Agent *a, const hsx_needs *needs);
static bool is_avoided (const Wish *wish, uint32_t agent);
static bool better (const Agent *a, const Agent *b);
static uint32_t choose (HsCredits *pool,
                        const List *list,
                        const Wish *wish,
                        HsTime now,
                        HsTime lease_left);
static uint32_t
choose_any (HsCredits *pool, const Wish *wish, HsTime now, HsTime lease_left);
static bool most_are_healthy (const HsCredits *pool);
static bool healthy_serve (const HsCredits *pool, const Wish *wish);

HsCredits *
hs_credits_new (TALLOC_CTX *ctx, uint64_t seed)
{
  HsCredits *pool = talloc_zero (ctx, HsCredits);

  pool->random = seed;
  return pool;
}

void
hs_credits_agent (HsCredits *pool, uint32_t agent, const hsx_needs *capacity)
{
  Agent *a;

  agents_reserve (pool, agent);
  a = &pool->agents[agent];
  a->capacity = *capacity;
  if (a->known)
    return;
  a->known = true;
  pool->n_known++;
  pool->n_healthy++;
  a->health = HS_HEALTH_OK;
  a->list = LIST_NONE;
}

void
hs_credits_drop (HsCredits *pool, uint32_t agent)
{
  Agent *a = lookup (pool, agent);

  if (a == NULL)
    return;
  pool->n_known--;
  pool->n_healthy -= a->health == HS_HEALTH_OK;
  hs_agent_credits_free (&a->held);
  relist (pool, agent);
  pool->n_in_use -= a->in_use;
  *a = (Agent){ .known = false };
}

void
hs_credits_set_health (HsCredits *pool, uint32_t agent, HsHealthState state)
{
  Agent *a = lookup (pool, agent);

  if (a == NULL || a->health == state)
    return;
  pool->n_healthy += state == HS_HEALTH_OK;
  pool->n_healthy -= a->health == HS_HEALTH_OK;
  a->health = state;
  relist (pool, agent);
}

void
hs_credits_grant (HsCredits *pool,
                  uint32_t agent,
                  uint32_t n,
                  const hsx_credit *credits,
                  HsTime now)
{
  Agent *a = lookup (pool, agent);

  if (a == NULL)
    return;
  hs_agent_credits_grant (pool, &a->held, n, credits, now);
  relist (pool, agent);
}

bool
hs_credits_add (HsCredits *pool,
                uint32_t agent,
                const hsx_credit *credit,
                HsCreditSource source,
                HsTime now)
{
  Agent *a = lookup (pool, agent);

  if (a == NULL || !hs_agent_credits_keep (pool, &a->held, credit, source, now))
    return false;
  relist (pool, agent);
  return true;
}

bool
hs_credits_take (HsCredits *pool,
                 const hsx_needs *needs,
                 HsTime now,
                 HsTime lease_left,
                 uint32_t *agent,
                 hsx_credit *credit)
{
  return hs_credits_take_elsewhere (pool, needs, NULL, 0, now, lease_left,
                                    agent, credit);
}

bool
hs_credits_take_elsewhere (HsCredits *pool,
                           const hsx_needs *needs,
                           const uint32_t *avoided,
                           uint32_t n_avoided,
                           HsTime now,
                           HsTime lease_left,
                           uint32_t *agent,
                           hsx_credit *credit)
{
  Wish wish = { *needs, avoided, n_avoided };
  uint32_t chosen = choose_any (pool, &wish, now, lease_left);

  if (chosen == NONE)
    {
      drop_expired (pool, now, lease_left);
      return false;
    }
  pool->agents[chosen].in_use++;
  pool->n_in_use++;
  *credit = hs_agent_credits_pop (&pool->agents[chosen].held);
  relist (pool, chosen);
  *agent = chosen;
  return true;
}

HsTime
hs_credits_stamp_received (const HsCredits *pool, uint32_t agent)
{
  const Agent *a = lookup (pool, agent);

  return a != NULL ? a->held.stamp_received : HS_NEVER;
}

void
hs_credits_finished (HsCredits *pool, uint32_t agent)
{
  Agent *a = lookup (pool, agent);

  if (a == NULL || a->in_use == 0)
    return;
  a->in_use--;
  pool->n_in_use--;
  relist (pool, agent);
}

uint32_t
hs_credits_take_loan (HsCredits *pool,
                      uint32_t n,
                      HsTime now,
                      HsTime lease_left,
                      hsx_credit *credits)
{
  const Wish none = { 0 };
  uint32_t taken;

  for (taken = 0; taken < n; taken++)
    {
      uint32_t agent
          = choose (pool, &pool->lists[LIST_OK], &none, now, lease_left);

      if (agent == NONE)
        break;
      credits[taken] = hs_agent_credits_lend (&pool->agents[agent].held, now);
      relist (pool, agent);
    }
  return taken;
}

void
hs_credits_reclaim (HsCredits *pool, HsTime now)
{
  uint32_t agent;

  for (agent = 0; agent < pool->n_agents; agent++)
    if (hs_agent_credits_reclaim (&pool->agents[agent].held, now))
      relist (pool, agent);
}

bool
hs_credits_any (const HsCredits *pool, HsTime now)
{
  if (pool->lists[LIST_OK].n > 0)
    return true;
  return pool->lists[LIST_PROBATION].n > 0
         && (now >= pool->probe_at || !most_are_healthy (pool));
}

uint32_t
hs_credits_idle (const HsCredits *pool)
{
  if (most_are_healthy (pool))
    return pool->n_idle;
  return pool->n_idle + pool->lists[LIST_PROBATION].n;
}

uint32_t
hs_credits_idle_at (const HsCredits *pool, uint32_t agent)
{
  const Agent *a = lookup (pool, agent);

  return a != NULL ? a->held.n_idle : 0;
}

uint32_t
hs_credits_in_use (const HsCredits *pool)
{
  return pool->n_in_use;
}

uint32_t
hs_credits_in_use_at (const HsCredits *pool, uint32_t agent)
{
  const Agent *a = lookup (pool, agent);

  return a != NULL ? a->in_use : 0;
}

static Agent *
lookup (const HsCredits *pool, uint32_t agent)
{
  if (agent >= pool->n_agents || !pool->agents[agent].known)
    return NULL;
  return &pool->agents[agent];
}

static void
agents_reserve (HsCredits *pool, uint32_t agent)
{
  uint32_t size = pool->n_agents > 0 ? pool->n_agents : 64;
  ListId list;

  if (agent < pool->n_agents)
    return;
  while (size <= agent)
    size *= 2;
  pool->agents = talloc_realloc (pool, pool->agents, Agent, size);
  for (; pool->n_agents < size; pool->n_agents++)
    pool->agents[pool->n_agents] = (Agent){ .known = false };
  for (list = 0; list < N_LISTS; list++)
    pool->lists[list].agents
        = talloc_realloc (pool, pool->lists[list].agents, uint32_t, size);
}

static ListId
list_of (const Agent *agent)
{
  if (agent->held.n_idle == 0)
    return LIST_NONE;
  switch (agent->health)
    {
    case HS_HEALTH_OK:
      return LIST_OK;
    case HS_HEALTH_PROBATION:
      return agent->in_use == 0 ? LIST_PROBATION : LIST_NONE;
    case HS_HEALTH_EJECTED:
      break;
    }
  return LIST_NONE;
}

static void
relist (HsCredits *pool, uint32_t agent)
{
  Agent *a = &pool->agents[agent];
  ListId id = list_of (a);

  if (id != a->list)
    {
      unlist (pool, agent);
      enlist (pool, agent, id);
    }
  recount (pool, a);
}

static void
enlist (HsCredits *pool, uint32_t agent, ListId id)
{
  Agent *a = &pool->agents[agent];
  List *list = &pool->lists[id];

  a->list = id;
  if (id == LIST_NONE)
    return;
  a->position = list->n;
  list->agents[list->n++] = agent;
}

static void
unlist (HsCredits *pool, uint32_t agent)
{
  Agent *a = &pool->agents[agent];
  List *list;
  uint32_t last;

  if (a->list == LIST_NONE)
    return;
  list = &pool->lists[a->list];
  last = list->agents[--list->n];
  list->agents[a->position] = last;
  pool->agents[last].position = a->position;
  a->list = LIST_NONE;
}

static bool
is_usable (HsCredits *pool, Agent *a, HsTime now, HsTime lease_left)
{
  bool usable = hs_agent_credits_usable (&a->held, now, lease_left);

  recount (pool, a);
  return usable;
}

static void
recount (HsCredits *pool, Agent *a)
{
  uint32_t n = a->list == LIST_OK ? a->held.n_idle : 0;

  pool->n_idle += n - a->n_counted;
  a->n_counted = n;
}

/* An agent whose last loans have expired must not count as one with credits,
 * else nobody is asked for others. */
static void
drop_expired (HsCredits *pool, HsTime now, HsTime lease_left)
{
  ListId id;
  uint32_t i;

  for (id = 0; id < N_LISTS; id++)
    for (i = pool->lists[id].n; i > 0; i--)
      {
        uint32_t agent = pool->lists[id].agents[i - 1];

        is_usable (pool, &pool->agents[agent], now, lease_left);
        relist (pool, agent);
      }
}

static bool
fits (const Agent *a, const hsx_needs *needs)
{
  return needs->memory_mb <= a->capacity.memory_mb
         && needs->accelerators <= a->capacity.accelerators;
}

static bool
is_avoided (const Wish *wish, uint32_t agent)
{
  uint32_t i;

  for (i = 0; i < wish->n_avoided; i++)
    if (wish->avoided[i] == agent)
      return true;
  return false;
}

/* Keeps accelerators for those who need them, uses loans before they expire,
 * then spreads. */
static bool
better (const Agent *a, const Agent *b)
{
  if (a->capacity.accelerators != b->capacity.accelerators)
    return a->capacity.accelerators < b->capacity.accelerators;
  if (hs_agent_credits_has_loan (&a->held)
      != hs_agent_credits_has_loan (&b->held))
    return hs_agent_credits_has_loan (&a->held);
  return a->held.n_idle > b->held.n_idle;
}

/* The best of a few agents from a random place on; further ones only while
 * none has fitted. */
static uint32_t
choose (HsCredits *pool,
        const List *list,
        const Wish *wish,
        HsTime now,
        HsTime lease_left)
{
  uint32_t best = NONE;
  uint32_t at;
  uint32_t i;

  if (list->n == 0)
    return NONE;
  at = hs_random_below (&pool->random, list->n);
  for (i = 0; i < list->n && (i < SAMPLES || best == NONE); i++)
    {
      uint32_t agent = list->agents[at];
      Agent *a = &pool->agents[agent];

      at = at + 1 < list->n ? at + 1 : 0;
      if (!fits (a, &wish->needs) || is_avoided (wish, agent)
          || !is_usable (pool, a, now, lease_left))
        continue;
      if (best == NONE || better (a, &pool->agents[best]))
        best = agent;
    }
  return best;
}

static uint32_t
choose_any (HsCredits *pool, const Wish *wish, HsTime now, HsTime lease_left)
{
  uint32_t n = pool->lists[LIST_PROBATION].n;
  uint32_t agent = NONE;

  if (now >= pool->probe_at)
    agent = choose (pool, &pool->lists[LIST_PROBATION], wish, now, lease_left);
  if (agent != NONE)
    {
      pool->probe_at = now + PROBE_PERIOD / n;
      return agent;
    }
  agent = choose (pool, &pool->lists[LIST_OK], wish, now, lease_left);
  if (agent != NONE || healthy_serve (pool, wish))
    return agent;
  return choose (pool, &pool->lists[LIST_PROBATION], wish, now, lease_left);
}

static bool
most_are_healthy (const HsCredits *pool)
{
  return pool->n_healthy * 2 >= pool->n_known;
}

/* Whether a task had better wait for a healthy target than go to one on
 * probation: most are healthy, and one of them is large enough. */
static bool
healthy_serve (const HsCredits *pool, const Wish *wish)
{
  uint32_t i;

  if (!most_are_healthy (pool))
    return false;
  for (i = 0; i < pool->n_agents; i++)
    {
      const Agent *a = &pool->agents[i];

      if (a->known && a->health == HS_HEALTH_OK && fits (a, &wish->needs)
          && !is_avoided (wish, i))
        return true;
    }
  return false;
}
