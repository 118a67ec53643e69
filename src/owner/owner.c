/**
 * @file
 * Creation of an owner, its periodic work and its counters.
 */
#include "owner/owner.h"

#include <string.h>

#include "owner/internal.h"

static int owner_destructor (HsOwner *owner);

HsOwner *
hs_owner_new (TALLOC_CTX *ctx,
              const HsOwnerConfig *config,
              const HsOwnerEffects *effects,
              void *arg)
{
  HsOwner *owner = talloc_zero (ctx, HsOwner);

  owner->config = *config;
  owner->effects = *effects;
  owner->arg = arg;
  owner->partitions = talloc_zero_array (owner, Partition, config->partitions);
  owner->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  owner->recovered_jobs = g_hash_table_new (g_str_hash, g_str_equal);
  owner->customers = g_hash_table_new (g_str_hash, g_str_equal);
  owner->flows = g_ptr_array_new ();
  owner->waiters
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  owner->agent_handles
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  owner->lists = hs_lists_new (owner);
  owner->tasks = g_ptr_array_new ();
  owner->free_task_handles = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  owner->queue = hs_fair_queue_new (owner, HS_JOBS_EARLIEST_END);
  owner->credits = hs_credits_new (owner, config->seed);
  owner->health = hs_health_new (owner);
  owner->containment = hs_containment_new (owner);
  owner->feasible = hs_feasible_new (owner);
  owner->loans = hs_loans_new (owner, config->seed);
  owner->random_state = config->seed;
  owner->peers = g_array_new (FALSE, TRUE, sizeof (uint64_t));
  hs_retry_budget_init (&owner->retry, 0);
  g_queue_init (&owner->finished);
  g_queue_init (&owner->pinned);
  talloc_set_destructor (owner, owner_destructor);
  return owner;
}

uint32_t
hs_partition_of (const char *customer, uint32_t partitions)
{
  const uint64_t prime = UINT64_C (0x100000001b3);
  uint64_t hash = UINT64_C (0xcbf29ce484222325);
  const char *p;

  for (p = customer; *p != '\0'; p++)
    hash = (hash ^ (uint8_t) *p) * prime;
  hash ^= hash >> 32;
  return (uint32_t) hash & (partitions - 1);
}

void
hs_owner_set_lists (HsOwner *owner, const HsLists *lists, HsNow now)
{
  TALLOC_FREE (owner->lists);
  owner->lists = hs_lists_copy (owner, lists);
  customers_refresh (owner, now);
  dispatch_tasks (owner, now);
}

void
hs_owner_set_lease (HsOwner *owner, HsTime valid_until)
{
  owner->lease_until = valid_until;
}

void
hs_owner_set_agents_known_since (HsOwner *owner, int64_t wall_ms)
{
  owner->agents_known_since_ms = wall_ms;
}

bool
hs_owner_is_serving (const HsOwner *owner, uint32_t part)
{
  return owner->partitions[part].state == PARTITION_SERVING;
}

bool
hs_owner_owns (const HsOwner *owner, uint32_t part)
{
  return owner->partitions[part].state != PARTITION_NOT_OWNED;
}

uint32_t
hs_owner_n_partitions (const HsOwner *owner)
{
  return owner->n_owned;
}

uint32_t
hs_owner_idle_credits (const HsOwner *owner)
{
  return hs_credits_idle (owner->credits);
}

void
hs_owner_tick (HsOwner *owner, HsNow now)
{
  if (lease_is_valid (owner, now))
    run_due_timers (owner, now);
  apply_health_changes (owner, now);
  release_contained (owner, now.mono);
  finish_due_recoveries (owner, now);
  retention_sweep (owner, now);
  recovered_jobs_sweep (owner, now);
  hs_credits_reclaim_loans (owner->credits, now.mono);
  dispatch_tasks (owner, now);
}

HsTime
hs_owner_next_tick (const HsOwner *owner)
{
  HsTime at = HS_NEVER;
  uint32_t i;

  /* Without a lease nothing starts, so rate limits need no tick. */
  if (owner->lease_until != 0)
    at = hs_fair_queue_wake_at (owner->queue);
  at = MIN (at, hs_health_wake_at (owner->health));
  if (hs_fair_queue_length (owner->queue) > 0)
    at = MIN (at, hs_loans_next_request_at (owner->loans));
  at = MIN (at, hs_loans_next_reply_at (owner->loans));

  if (owner->timers.n > 0 && owner->lease_until != 0)
    at = MIN (at, owner->timers.items[0].key);
  if (owner->n_recovering == 0)
    return at;
  for (i = 0; i < owner->config.partitions; i++)
    if (owner->partitions[i].state == PARTITION_RECOVERING)
      at = MIN (at, owner->partitions[i].recover_deadline);
  return at;
}

uint32_t
hs_owner_unfinished_jobs (const HsOwner *owner)
{
  return owner->n_unfinished;
}

uint64_t
hs_owner_retained_bytes (const HsOwner *owner)
{
  return owner->retained_bytes;
}

const HsOwnerStats *
hs_owner_stats (const HsOwner *owner)
{
  return &owner->stats;
}

static int
owner_destructor (HsOwner *owner)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t i;

  g_hash_table_iter_init (&iter, owner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_clear_pointer (&((Job *) value)->waiters, g_array_unref);
  g_hash_table_iter_init (&iter, owner->recovered_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_unref (((RecoveredJob *) value)->tasks);
  for (i = 0; i < owner->config.partitions; i++)
    {
      partition_drop_staged (&owner->partitions[i]);
      if (owner->partitions[i].deferred != NULL)
        g_array_unref (owner->partitions[i].deferred);
    }
  g_hash_table_destroy (owner->jobs);
  g_hash_table_destroy (owner->recovered_jobs);
  g_hash_table_destroy (owner->customers);
  g_hash_table_destroy (owner->waiters);
  g_hash_table_destroy (owner->agent_handles);
  g_ptr_array_unref (owner->flows);
  g_ptr_array_unref (owner->tasks);
  g_array_unref (owner->free_task_handles);
  g_array_unref (owner->peers);
  return 0;
}
