#include "policy/credits.h"

#include "policy/random.h"

#define NO_AGENT UINT32_MAX

/* Number of agents compared for one task; comparing more changes the spread of
 * tasks little. */
#define AGENTS_COMPARED 4

/* While healthy targets are available, each target on probation is still given
 * a task at about this interval, so that it can show that it has recovered. */
#define PROBATION_TASK_PERIOD (5 * HS_SEC)

/* Lists of the agents that have an idle credit which may be used now, by the
 * health of their target. */
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
  HsAgentCredits credits;
  uint32_t n_idle_counted; /* Idle credits counted in HsCredits.n_idle. */
  ListId list;
  uint32_t position; /* Index in its list. */
  bool reserve;
} Agent;

typedef struct
{
  uint32_t *agents;
  uint32_t n;
} AgentList;

/* What a task requires of an agent, and the agents to avoid. */
typedef struct
{
  hsx_needs needs;
  const uint32_t *avoided;
  uint32_t n_avoided;
  HsCreditGroup group;
} AgentFilter;

struct HsCredits
{
  uint64_t random;
  HsTime next_probation_task_at;
  uint32_t agents_size;
  uint32_t n_agents;
  uint32_t n_healthy;
  uint32_t n_idle; /* Sum of Agent.n_idle_counted. */
  uint32_t n_in_use;
  Agent *agents;
  AgentList lists[N_LISTS];
};

static Agent *find_agent (const HsCredits *pool, uint32_t agent);
static void reserve_agent (HsCredits *pool, uint32_t agent);
static ListId choose_list (const Agent *agent);
static void update_list (HsCredits *pool, uint32_t agent);
static void update_idle_count (HsCredits *pool, Agent *a);
static void add_to_list (HsCredits *pool, uint32_t agent, ListId id);
static void remove_from_list (HsCredits *pool, uint32_t agent);
static bool
has_usable_credit (HsCredits *pool, Agent *a, HsTime now, HsTime lease_left);
static void
drop_expired_credits (HsCredits *pool, HsTime now, HsTime lease_left);
static bool fits (const Agent *a, const hsx_needs *needs);
static bool
is_avoided (const HsCredits *pool, const AgentFilter *filter, uint32_t agent);
static bool is_better (const Agent *a, const Agent *b);
static uint32_t choose_from_list (HsCredits *pool,
                                  const AgentList *list,
                                  const AgentFilter *filter,
                                  HsTime now,
                                  HsTime lease_left);
static uint32_t choose_agent (HsCredits *pool,
                              const AgentFilter *filter,
                              HsTime now,
                              HsTime lease_left);
static bool half_are_healthy (const HsCredits *pool);
static bool healthy_agent_fits (const HsCredits *pool,
                                const AgentFilter *filter);

HsCredits *
hs_credits_new (TALLOC_CTX *ctx, uint64_t seed)
{
  HsCredits *pool = talloc_zero (ctx, HsCredits);

  pool->random = seed;
  return pool;
}

void
hs_credits_set_agent (HsCredits *pool,
                      uint32_t agent,
                      const hsx_needs *capacity)
{
  Agent *a;

  reserve_agent (pool, agent);
  a = &pool->agents[agent];
  a->capacity = *capacity;
  if (a->known)
    return;
  a->known = true;
  pool->n_agents++;
  pool->n_healthy++;
  a->health = HS_HEALTH_OK;
  a->list = LIST_NONE;
}

void
hs_credits_remove_agent (HsCredits *pool, uint32_t agent)
{
  Agent *a = find_agent (pool, agent);

  if (a == NULL)
    return;
  pool->n_agents--;
  pool->n_healthy -= a->health == HS_HEALTH_OK;
  hs_agent_credits_free (&a->credits);
  update_list (pool, agent);
  pool->n_in_use -= a->in_use;
  *a = (Agent){ .known = false };
}

void
hs_credits_set_reserve (HsCredits *pool, uint32_t agent, bool reserve)
{
  Agent *a = find_agent (pool, agent);

  if (a != NULL)
    a->reserve = reserve;
}

void
hs_credits_set_health (HsCredits *pool, uint32_t agent, HsHealthState state)
{
  Agent *a = find_agent (pool, agent);

  if (a == NULL || a->health == state)
    return;
  pool->n_healthy += state == HS_HEALTH_OK;
  pool->n_healthy -= a->health == HS_HEALTH_OK;
  a->health = state;
  update_list (pool, agent);
}

void
hs_credits_grant (HsCredits *pool,
                  uint32_t agent,
                  uint32_t n,
                  const hsx_credit *credits,
                  HsTime now)
{
  Agent *a = find_agent (pool, agent);

  if (a == NULL)
    return;
  hs_agent_credits_grant (pool, &a->credits, n, credits, now);
  update_list (pool, agent);
}

bool
hs_credits_add (HsCredits *pool,
                uint32_t agent,
                const hsx_credit *credit,
                HsCreditSource source,
                HsTime now)
{
  Agent *a = find_agent (pool, agent);

  if (a == NULL
      || !hs_agent_credits_add (pool, &a->credits, credit, source, now))
    return false;
  update_list (pool, agent);
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
  return hs_credits_take_avoiding (pool, HS_CREDITS_ALL, needs, NULL, 0, now,
                                   lease_left, agent, credit);
}

bool
hs_credits_take_avoiding (HsCredits *pool,
                          HsCreditGroup group,
                          const hsx_needs *needs,
                          const uint32_t *avoided,
                          uint32_t n_avoided,
                          HsTime now,
                          HsTime lease_left,
                          uint32_t *agent,
                          hsx_credit *credit)
{
  AgentFilter filter = { *needs, avoided, n_avoided, group };
  uint32_t chosen = choose_agent (pool, &filter, now, lease_left);

  if (chosen == NO_AGENT)
    {
      drop_expired_credits (pool, now, lease_left);
      return false;
    }
  pool->agents[chosen].in_use++;
  pool->n_in_use++;
  *credit = hs_agent_credits_pop (&pool->agents[chosen].credits);
  update_list (pool, chosen);
  *agent = chosen;
  return true;
}

HsTime
hs_credits_stamp_received_at (const HsCredits *pool, uint32_t agent)
{
  const Agent *a = find_agent (pool, agent);

  return a != NULL ? a->credits.stamp_received_at : HS_NEVER;
}

void
hs_credits_task_ended (HsCredits *pool, uint32_t agent)
{
  Agent *a = find_agent (pool, agent);

  if (a == NULL || a->in_use == 0)
    return;
  a->in_use--;
  pool->n_in_use--;
  update_list (pool, agent);
}

uint32_t
hs_credits_lend (HsCredits *pool,
                 uint32_t n,
                 HsTime now,
                 HsTime lease_left,
                 hsx_credit *credits)
{
  const AgentFilter none = { 0 };
  uint32_t taken;

  for (taken = 0; taken < n; taken++)
    {
      uint32_t agent = choose_from_list (pool, &pool->lists[LIST_OK], &none,
                                         now, lease_left);

      if (agent == NO_AGENT)
        break;
      credits[taken]
          = hs_agent_credits_lend (&pool->agents[agent].credits, now);
      update_list (pool, agent);
    }
  return taken;
}

void
hs_credits_reclaim_loans (HsCredits *pool, HsTime now)
{
  uint32_t agent;

  for (agent = 0; agent < pool->agents_size; agent++)
    if (hs_agent_credits_reclaim_loans (&pool->agents[agent].credits, now))
      update_list (pool, agent);
}

bool
hs_credits_may_take (const HsCredits *pool, HsTime now)
{
  if (pool->lists[LIST_OK].n > 0)
    return true;
  return pool->lists[LIST_PROBATION].n > 0
         && (now >= pool->next_probation_task_at || !half_are_healthy (pool));
}

uint32_t
hs_credits_idle (const HsCredits *pool)
{
  if (half_are_healthy (pool))
    return pool->n_idle;
  return pool->n_idle + pool->lists[LIST_PROBATION].n;
}

uint32_t
hs_credits_idle_of_agent (const HsCredits *pool, uint32_t agent)
{
  const Agent *a = find_agent (pool, agent);

  return a != NULL ? a->credits.n_idle : 0;
}

uint32_t
hs_credits_in_use (const HsCredits *pool)
{
  return pool->n_in_use;
}

uint32_t
hs_credits_in_use_of_agent (const HsCredits *pool, uint32_t agent)
{
  const Agent *a = find_agent (pool, agent);

  return a != NULL ? a->in_use : 0;
}

static Agent *
find_agent (const HsCredits *pool, uint32_t agent)
{
  if (agent >= pool->agents_size || !pool->agents[agent].known)
    return NULL;
  return &pool->agents[agent];
}

static void
reserve_agent (HsCredits *pool, uint32_t agent)
{
  uint32_t size = pool->agents_size > 0 ? pool->agents_size : 64;
  ListId list;

  if (agent < pool->agents_size)
    return;
  while (size <= agent)
    size *= 2;
  pool->agents = talloc_realloc (pool, pool->agents, Agent, size);
  for (; pool->agents_size < size; pool->agents_size++)
    pool->agents[pool->agents_size] = (Agent){ .known = false };
  for (list = 0; list < N_LISTS; list++)
    pool->lists[list].agents
        = talloc_realloc (pool, pool->lists[list].agents, uint32_t, size);
}

static ListId
choose_list (const Agent *agent)
{
  if (agent->credits.n_idle == 0)
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
update_list (HsCredits *pool, uint32_t agent)
{
  Agent *a = &pool->agents[agent];
  ListId id = choose_list (a);

  if (id != a->list)
    {
      remove_from_list (pool, agent);
      add_to_list (pool, agent, id);
    }
  update_idle_count (pool, a);
}

static void
add_to_list (HsCredits *pool, uint32_t agent, ListId id)
{
  Agent *a = &pool->agents[agent];
  AgentList *list = &pool->lists[id];

  a->list = id;
  if (id == LIST_NONE)
    return;
  a->position = list->n;
  list->agents[list->n++] = agent;
}

static void
remove_from_list (HsCredits *pool, uint32_t agent)
{
  Agent *a = &pool->agents[agent];
  AgentList *list;
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
has_usable_credit (HsCredits *pool, Agent *a, HsTime now, HsTime lease_left)
{
  bool usable = hs_agent_credits_has_usable (&a->credits, now, lease_left);

  update_idle_count (pool, a);
  return usable;
}

static void
update_idle_count (HsCredits *pool, Agent *a)
{
  uint32_t n = a->list == LIST_OK ? a->credits.n_idle : 0;

  pool->n_idle += n - a->n_idle_counted;
  a->n_idle_counted = n;
}

/* Drops expired credits. An agent that only had expired loans must not count as
 * one with credits, or no peer would be asked for others. */
static void
drop_expired_credits (HsCredits *pool, HsTime now, HsTime lease_left)
{
  ListId id;
  uint32_t i;

  for (id = 0; id < N_LISTS; id++)
    for (i = pool->lists[id].n; i > 0; i--)
      {
        uint32_t agent = pool->lists[id].agents[i - 1];

        has_usable_credit (pool, &pool->agents[agent], now, lease_left);
        update_list (pool, agent);
      }
}

static bool
fits (const Agent *a, const hsx_needs *needs)
{
  return needs->memory_mb <= a->capacity.memory_mb
         && needs->accelerators <= a->capacity.accelerators;
}

static bool
is_avoided (const HsCredits *pool, const AgentFilter *filter, uint32_t agent)
{
  bool reserve = pool->agents[agent].reserve;
  uint32_t i;

  if ((filter->group == HS_CREDITS_RESERVE && !reserve)
      || (filter->group == HS_CREDITS_COMMON && reserve))
    return true;

  for (i = 0; i < filter->n_avoided; i++)
    if (filter->avoided[i] == agent)
      return true;
  return false;
}

/* Prefers agents with fewer accelerators, to keep those for tasks that need
 * them. Then prefers borrowed credits, which expire, and then the agent with
 * the most idle credits, to spread the load. */
static bool
is_better (const Agent *a, const Agent *b)
{
  if (a->capacity.accelerators != b->capacity.accelerators)
    return a->capacity.accelerators < b->capacity.accelerators;
  if (hs_agent_credits_newest_is_loan (&a->credits)
      != hs_agent_credits_newest_is_loan (&b->credits))
    return hs_agent_credits_newest_is_loan (&a->credits);
  return a->credits.n_idle > b->credits.n_idle;
}

/* Returns the best of AGENTS_COMPARED agents from a random position on. Looks
 * at further agents only while none has matched. */
static uint32_t
choose_from_list (HsCredits *pool,
                  const AgentList *list,
                  const AgentFilter *filter,
                  HsTime now,
                  HsTime lease_left)
{
  uint32_t best = NO_AGENT;
  uint32_t position;
  uint32_t i;

  if (list->n == 0)
    return NO_AGENT;
  position = hs_random_below (&pool->random, list->n);
  for (i = 0; i < list->n && (i < AGENTS_COMPARED || best == NO_AGENT); i++)
    {
      uint32_t agent = list->agents[position];
      Agent *a = &pool->agents[agent];

      position = position + 1 < list->n ? position + 1 : 0;
      if (!fits (a, &filter->needs) || is_avoided (pool, filter, agent)
          || !has_usable_credit (pool, a, now, lease_left))
        continue;
      if (best == NO_AGENT || is_better (a, &pool->agents[best]))
        best = agent;
    }
  return best;
}

static uint32_t
choose_agent (HsCredits *pool,
              const AgentFilter *filter,
              HsTime now,
              HsTime lease_left)
{
  uint32_t n = pool->lists[LIST_PROBATION].n;
  uint32_t agent = NO_AGENT;

  if (now >= pool->next_probation_task_at)
    agent = choose_from_list (pool, &pool->lists[LIST_PROBATION], filter, now,
                              lease_left);
  if (agent != NO_AGENT)
    {
      pool->next_probation_task_at = now + PROBATION_TASK_PERIOD / n;
      return agent;
    }
  agent
      = choose_from_list (pool, &pool->lists[LIST_OK], filter, now, lease_left);
  if (agent != NO_AGENT || healthy_agent_fits (pool, filter))
    return agent;
  return choose_from_list (pool, &pool->lists[LIST_PROBATION], filter, now,
                           lease_left);
}

static bool
half_are_healthy (const HsCredits *pool)
{
  return pool->n_healthy * 2 >= pool->n_agents;
}

/* Returns whether the task should wait for a healthy target rather than go to
 * one on probation: at least half of the targets are healthy, and one of the
 * healthy ones is large enough. */
static bool
healthy_agent_fits (const HsCredits *pool, const AgentFilter *filter)
{
  uint32_t i;

  if (!half_are_healthy (pool))
    return false;
  for (i = 0; i < pool->agents_size; i++)
    {
      const Agent *a = &pool->agents[i];

      if (a->known && a->health == HS_HEALTH_OK && fits (a, &filter->needs)
          && !is_avoided (pool, filter, i))
        return true;
    }
  return false;
}
