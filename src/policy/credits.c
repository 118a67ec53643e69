#include "policy/credits.h"

#include "policy/random.h"

#define NONE UINT32_MAX

/* Bounds the table of slots of an agent. */
#define SLOTS_MAX HSX_CREDITS_MAX

/* A start is sent only if the agent would still accept it this much later:
 * one way over the network, a loop's turn at either end. */
#define PERMIT_MARGIN (50 * HS_MSEC)

/* Clock offsets are forgotten after two windows, so that clock drift can't
 * add up. */
#define OFFSET_WINDOW (30 * HS_SEC)

/* So many agents are compared for one task; more changes little. */
#define SAMPLES 4

/* One task in so many goes to a target on probation although a healthy one
 * is free, so that it can prove itself at low load. */
#define PROBE_PERIOD 16

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
  uint32_t n_idle;
  hsx_credit *idle;       /* Newest last. */
  uint32_t *generations;  /* By slot: the highest taken or lent, plus 1. */
  int64_t offset;         /* Agent's clock less ours: highest seen in this */
  int64_t earlier_offset; /* window, and in the one before. */
  HsTime window_end;
  ListId list;
  uint32_t position; /* In its list. */
} Agent;

typedef struct
{
  uint32_t *agents;
  uint32_t n;
} List;

struct HsCredits
{
  uint64_t random;
  uint32_t n_agents;
  uint32_t n_idle; /* But of ejected agents. */
  uint32_t n_in_use;
  Agent *agents;
  List lists[N_LISTS];
};

static Agent *lookup (const HsCredits *pool, uint32_t agent);
static void agents_reserve (HsCredits *pool, uint32_t agent);
static ListId list_of (const Agent *agent);
static void relist (HsCredits *pool, uint32_t agent);
static void unlist (HsCredits *pool, uint32_t agent);
static void clear_idle (HsCredits *pool, Agent *a);
static bool keep_idle (HsCredits *pool, Agent *a, const hsx_credit *credit);
static void learn_offset (Agent *a, int64_t stamp, HsTime now);
static bool
is_fresh (const Agent *a, const hsx_credit *credit, HsTime now, HsTime lease);
static bool fits (const Agent *a, const hsx_needs *needs);
static bool better (const Agent *a, const Agent *b);
static uint32_t choose (HsCredits *pool,
                        const List *list,
                        const hsx_needs *needs,
                        HsTime now,
                        HsTime lease_left);
static uint32_t choose_any (HsCredits *pool,
                            const hsx_needs *needs,
                            HsTime now,
                            HsTime lease_left);
static void remove_newest (HsCredits *pool, Agent *a, hsx_credit *credit);

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
  a->health = HS_HEALTH_OK;
  a->offset = INT64_MIN;
  a->earlier_offset = INT64_MIN;
  a->list = LIST_NONE;
}

void
hs_credits_drop (HsCredits *pool, uint32_t agent)
{
  Agent *a = lookup (pool, agent);

  if (a == NULL)
    return;
  clear_idle (pool, a);
  unlist (pool, agent);
  pool->n_in_use -= a->in_use;
  talloc_free (a->idle);
  talloc_free (a->generations);
  *a = (Agent){ .known = false };
}

void
hs_credits_set_health (HsCredits *pool, uint32_t agent, HsHealthState state)
{
  Agent *a = lookup (pool, agent);

  if (a == NULL || a->health == state)
    return;
  if (a->health == HS_HEALTH_EJECTED)
    pool->n_idle += a->n_idle;
  if (state == HS_HEALTH_EJECTED)
    pool->n_idle -= a->n_idle;
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
  uint32_t i;

  if (a == NULL)
    return;
  clear_idle (pool, a);
  for (i = 0; i < n; i++)
    if (keep_idle (pool, a, &credits[i]))
      learn_offset (a, credits[i].stamp_us, now);
  relist (pool, agent);
}

bool
hs_credits_add (HsCredits *pool,
                uint32_t agent,
                const hsx_credit *credit,
                HsTime now)
{
  Agent *a = lookup (pool, agent);

  if (a == NULL || !keep_idle (pool, a, credit))
    return false;
  learn_offset (a, credit->stamp_us, now);
  relist (pool, agent);
  return true;
}

bool
hs_credits_add_loan (HsCredits *pool,
                     uint32_t agent,
                     const hsx_credit *credit,
                     HsTime now)
{
  Agent *a = lookup (pool, agent);

  if (a == NULL)
    return false;
  if (credit->slot < talloc_array_length (a->generations)
      && a->generations[credit->slot] == credit->generation + 1)
    a->generations[credit->slot]--;
  return hs_credits_add (pool, agent, credit, now);
}

bool
hs_credits_take (HsCredits *pool,
                 const hsx_needs *needs,
                 HsTime now,
                 HsTime lease_left,
                 uint32_t *agent,
                 hsx_credit *credit)
{
  uint32_t chosen = choose_any (pool, needs, now, lease_left);

  if (chosen == NONE)
    return false;
  remove_newest (pool, &pool->agents[chosen], credit);
  pool->agents[chosen].in_use++;
  pool->n_in_use++;
  relist (pool, chosen);
  *agent = chosen;
  return true;
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
  const hsx_needs none = { 0 };
  uint32_t taken;

  for (taken = 0; taken < n; taken++)
    {
      uint32_t agent
          = choose (pool, &pool->lists[LIST_OK], &none, now, lease_left);

      if (agent == NONE)
        break;
      remove_newest (pool, &pool->agents[agent], &credits[taken]);
      relist (pool, agent);
    }
  return taken;
}

uint32_t
hs_credits_idle (const HsCredits *pool)
{
  return pool->n_idle;
}

uint32_t
hs_credits_idle_at (const HsCredits *pool, uint32_t agent)
{
  const Agent *a = lookup (pool, agent);

  return a != NULL ? a->n_idle : 0;
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
  if (agent->n_idle == 0)
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
  List *list;

  if (id == a->list)
    return;
  unlist (pool, agent);
  a->list = id;
  if (id == LIST_NONE)
    return;
  list = &pool->lists[id];
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

static void
clear_idle (HsCredits *pool, Agent *a)
{
  if (a->health != HS_HEALTH_EJECTED)
    pool->n_idle -= a->n_idle;
  a->n_idle = 0;
}

/* Keeps a credit as idle, in place of an older one of the same slot. */
static bool
keep_idle (HsCredits *pool, Agent *a, const hsx_credit *credit)
{
  size_t n_slots = talloc_array_length (a->generations);
  uint32_t i;

  if (credit->slot >= SLOTS_MAX || credit->generation == UINT32_MAX)
    return false;
  if (credit->slot >= n_slots)
    {
      size_t size = credit->slot + 8;

      a->generations = talloc_realloc (pool, a->generations, uint32_t, size);
      a->idle = talloc_realloc (pool, a->idle, hsx_credit, size);
      for (; n_slots < size; n_slots++)
        a->generations[n_slots] = 0;
    }
  if (credit->generation < a->generations[credit->slot])
    return false;
  for (i = 0; i < a->n_idle; i++)
    if (a->idle[i].slot == credit->slot)
      {
        if (a->idle[i].generation > credit->generation)
          return false;
        a->idle[i] = *credit;
        return true;
      }
  a->idle[a->n_idle++] = *credit;
  if (a->health != HS_HEALTH_EJECTED)
    pool->n_idle++;
  return true;
}

/* The agent's clock can't be behind a stamp of it that has arrived. */
static void
learn_offset (Agent *a, int64_t stamp, HsTime now)
{
  int64_t offset = stamp - now;

  if (now >= a->window_end)
    {
      a->earlier_offset = a->offset;
      a->offset = offset;
      a->window_end = now + OFFSET_WINDOW;
    }
  else if (offset > a->offset)
    a->offset = offset;
}

static bool
is_fresh (const Agent *a, const hsx_credit *credit, HsTime now, HsTime lease)
{
  int64_t offset
      = a->offset > a->earlier_offset ? a->offset : a->earlier_offset;
  HsTime age = now + offset - credit->stamp_us;

  return age + PERMIT_MARGIN < lease;
}

static bool
fits (const Agent *a, const hsx_needs *needs)
{
  return needs->memory_mb <= a->capacity.memory_mb
         && needs->accelerators <= a->capacity.accelerators;
}

/* Keeps accelerators for those who need them, then spreads. */
static bool
better (const Agent *a, const Agent *b)
{
  if (a->capacity.accelerators != b->capacity.accelerators)
    return a->capacity.accelerators < b->capacity.accelerators;
  return a->n_idle > b->n_idle;
}

/* The best of a few agents from a random place on; further ones only while
 * none has fitted. */
static uint32_t
choose (HsCredits *pool,
        const List *list,
        const hsx_needs *needs,
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
      const Agent *a = &pool->agents[agent];

      at = at + 1 < list->n ? at + 1 : 0;
      if (!fits (a, needs)
          || !is_fresh (a, &a->idle[a->n_idle - 1], now, lease_left))
        continue;
      if (best == NONE || better (a, &pool->agents[best]))
        best = agent;
    }
  return best;
}

static uint32_t
choose_any (HsCredits *pool,
            const hsx_needs *needs,
            HsTime now,
            HsTime lease_left)
{
  bool probe = pool->lists[LIST_PROBATION].n > 0
               && hs_random_below (&pool->random, PROBE_PERIOD) == 0;
  ListId first = probe ? LIST_PROBATION : LIST_OK;
  ListId second = probe ? LIST_OK : LIST_PROBATION;
  uint32_t agent = choose (pool, &pool->lists[first], needs, now, lease_left);

  if (agent != NONE)
    return agent;
  return choose (pool, &pool->lists[second], needs, now, lease_left);
}

static void
remove_newest (HsCredits *pool, Agent *a, hsx_credit *credit)
{
  *credit = a->idle[--a->n_idle];
  a->generations[credit->slot] = credit->generation + 1;
  pool->n_idle--;
}
