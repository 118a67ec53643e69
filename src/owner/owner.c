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
  owner->parts = talloc_zero_array (owner, Part, config->partitions);
  owner->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  owner->recovered = g_hash_table_new (g_str_hash, g_str_equal);
  owner->customers = g_hash_table_new (g_str_hash, g_str_equal);
  owner->flows = g_ptr_array_new ();
  owner->waiters
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  owner->agent_handles
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  owner->lists = hs_lists_new (owner);
  owner->tasks = g_ptr_array_new ();
  owner->free_handles = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  owner->queue = hs_fair_queue_new (owner, HS_JOBS_EARLIEST_END);
  owner->credits = hs_credits_new (owner, config->seed);
  owner->health = hs_health_new (owner);
  owner->feasible = hs_feasible_new (owner);
  owner->loans = hs_loans_new (owner, config->seed);
  owner->random = config->seed;
  owner->peers = g_array_new (FALSE, TRUE, sizeof (uint64_t));
  hs_retry_budget_init (&owner->retry, 0);
  g_queue_init (&owner->kept);
  g_queue_init (&owner->set_aside);
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
  pump (owner, now);
}

void
hs_owner_set_lease (HsOwner *owner, HsTime valid_until)
{
  owner->lease_until = valid_until;
}

void
hs_owner_set_complete_since (HsOwner *owner, int64_t wall_ms)
{
  owner->complete_since_ms = wall_ms;
}

bool
hs_owner_serving (const HsOwner *owner, uint32_t part)
{
  return owner->parts[part].state == PART_SERVING;
}

bool
hs_owner_owns (const HsOwner *owner, uint32_t part)
{
  return owner->parts[part].state != PART_FOREIGN;
}

uint32_t
hs_owner_owned (const HsOwner *owner)
{
  return owner->owned;
}

uint32_t
hs_owner_idle_credits (const HsOwner *owner)
{
  return hs_credits_idle (owner->credits);
}

void
hs_owner_tick (HsOwner *owner, HsNow now)
{
  if (lease_holds (owner, now))
    timers_run (owner, now);
  health_update (owner, now);
  recovery_check (owner, now);
  jobs_sweep (owner, now);
  recovered_sweep (owner, now);
  hs_credits_reclaim_loans (owner->credits, now.mono);
  pump (owner, now);
}

HsTime
hs_owner_next_tick (const HsOwner *owner)
{
  HsTime at = HS_NEVER;
  uint32_t i;

  /* Without a lease nothing starts, so no limit is waited for. */
  if (owner->lease_until != 0)
    at = hs_fair_queue_wake_at (owner->queue);
  at = MIN (at, hs_health_wake_at (owner->health));
  if (hs_fair_queue_length (owner->queue) > 0)
    at = MIN (at, hs_loans_next_request_at (owner->loans));
  at = MIN (at, hs_loans_next_reply_at (owner->loans));

  if (owner->timers.n > 0 && owner->lease_until != 0)
    at = MIN (at, owner->timers.items[0].key);
  if (owner->recovering == 0)
    return at;
  for (i = 0; i < owner->config.partitions; i++)
    if (owner->parts[i].state == PART_RECOVERING)
      at = MIN (at, owner->parts[i].recover_until);
  return at;
}

uint32_t
hs_owner_unfinished (const HsOwner *owner)
{
  return owner->unfinished;
}

uint64_t
hs_owner_kept_bytes (const HsOwner *owner)
{
  return owner->kept_bytes;
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
  g_hash_table_iter_init (&iter, owner->recovered);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_unref (((Recovered *) value)->results);
  for (i = 0; i < owner->config.partitions; i++)
    {
      parts_drop_staged (&owner->parts[i]);
      if (owner->parts[i].parked != NULL)
        g_array_unref (owner->parts[i].parked);
    }
  g_hash_table_destroy (owner->jobs);
  g_hash_table_destroy (owner->recovered);
  g_hash_table_destroy (owner->customers);
  g_hash_table_destroy (owner->waiters);
  g_hash_table_destroy (owner->agent_handles);
  g_ptr_array_unref (owner->flows);
  g_ptr_array_unref (owner->tasks);
  g_array_unref (owner->free_handles);
  g_array_unref (owner->peers);
  return 0;
}
