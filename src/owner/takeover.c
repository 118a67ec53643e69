#include <string.h>

#include "base/error.h"
#include "owner/internal.h"

static Recovered *recovered_get (HsOwner *owner,
                                 const char *customer,
                                 const char *id,
                                 uint32_t part,
                                 HsNow now);
static void take_record (HsOwner *owner,
                         uint32_t handle,
                         const hsx_result *record,
                         HsNow now);
static void count_running (HsOwner *owner,
                           const Recovered *recovered,
                           const RecoveredTask *task,
                           int change);
static void part_serve (HsOwner *owner, uint32_t part, HsNow now);
static int64_t uncertain_before (const HsOwner *owner, int64_t wall_ms);
static bool agents_answered (const HsOwner *owner, uint32_t generation);
static void reroute_all (HsOwner *owner, uint32_t part);
static void drop_part_jobs (HsOwner *owner, uint32_t part);

void
hs_owner_own (HsOwner *owner, uint32_t n, const HsOwnedPart *parts, HsNow now)
{
  uint32_t i;

  owner->generation++;
  for (i = 0; i < n; i++)
    {
      const HsOwnedPart *p = &parts[i];
      Part *part = &owner->parts[p->part];

      part->epoch = p->epoch;
      if (part->state != PART_FOREIGN)
        continue;
      part->state = PART_RECOVERING;
      part->recover_until = now.mono + RECOVER_TIMEOUT;
      part->generation = owner->generation;
      part->fresh = p->previous == 0;
      owner->owned++;
      owner->recovering++;
      owner->stats.takeovers += !part->fresh && !p->handed_over;
      if (!p->handed_over)
        parts_drop_staged (part);
      staged_adopt (owner, p->part, p->previous, now);
    }
  for (i = 0; i < owner->n_agents; i++)
    if (owner->agents[i].connected)
      {
        recover_agent (owner, i);
        settle_adopted (owner, i);
      }
  recovery_check (owner, now);
  pump (owner, now);
}

void
hs_owner_disown (HsOwner *owner, uint32_t part, HsNow now)
{
  Part *p = &owner->parts[part];

  if (p->state == PART_FOREIGN)
    return;
  if (p->state == PART_RECOVERING)
    owner->recovering--;
  p->state = PART_FOREIGN;
  p->claims_loaded = false;
  p->uncertain_before_ms = 0;
  p->forgotten_before_ms = 0;
  owner->owned--;
  parts_drop_staged (p);
  drop_part_jobs (owner, part);
  reroute_all (owner, part);
  pump (owner, now);
}

void
hs_owner_claim_found (HsOwner *owner,
                      uint32_t part,
                      const char *customer,
                      const char *id,
                      int64_t claimed_ms,
                      HsNow now)
{
  Recovered *recovered;

  if (job_find (owner, customer, id) != NULL)
    return;
  recovered = recovered_get (owner, customer, id, part, now);
  recovered->claimed = true;
  recovered->claimed_ms = claimed_ms;
}

void
hs_owner_recovered (HsOwner *owner,
                    uint64_t incarnation,
                    const hsx_recover_reply *reply,
                    HsNow now)
{
  uint32_t handle;
  Agent *agent = agent_find (owner, incarnation, &handle);
  u_int i;

  if (agent == NULL || !agent->recovering)
    return;
  if (reply == NULL)
    {
      /* The part's timeout or the next connection decides. */
      agent->recovering = false;
      return;
    }
  for (i = 0; i < reply->records.records_len; i++)
    take_record (owner, handle, &reply->records.records_val[i], now);
  agent = &owner->agents[handle];
  owner->stats.recovered += reply->records.records_len;
  agent->recovering = false;
  if (reply->next != 0)
    {
      agent->cursor = reply->next;
      recover_agent (owner, handle);
      return;
    }
  agent->cursor = 0;
  agent->recovered = agent->recover_sent;
  agent->forgetful = reply->remembers_s * HS_SEC < owner->config.retention;
  if (agent->recovered < owner->generation)
    recover_agent (owner, handle);
  recovery_check (owner, now);
  pump (owner, now);
}

Recovered *
recovered_find (HsOwner *owner, const char *key)
{
  return g_hash_table_lookup (owner->recovered, key);
}

void
recovered_drop (HsOwner *owner, Recovered *recovered)
{
  guint i;

  for (i = 0; i < recovered->results->len; i++)
    count_running (owner, recovered, recovered->results->pdata[i], -1);
  g_hash_table_remove (owner->recovered, recovered->key);
  g_ptr_array_unref (recovered->results);
  talloc_free (recovered);
}

bool
recovered_take_result (HsOwner *owner, const hsx_result *result)
{
  char key[JOB_KEY_SIZE];
  Recovered *recovered;
  guint i;

  job_key (key, result->key.customer, result->key.id);
  recovered = recovered_find (owner, key);
  for (i = 0; recovered != NULL && i < recovered->results->len; i++)
    {
      RecoveredTask *task = recovered->results->pdata[i];

      if (task->index != result->key.index || task->outcome != HSX_RUNNING
          || result->outcome == HSX_RUNNING)
        continue;
      count_running (owner, recovered, task, -1);
      task->outcome = result->outcome;
      task->http_status = result->http_status;
      task->body_len = result->body.body_len;
      task->body
          = talloc_memdup (task, result->body.body_val, result->body.body_len);
      return true;
    }
  return false;
}

/* Ids that carry their time are too old by then; claims are kept. */
void
recovered_sweep (HsOwner *owner, HsNow now)
{
  HsTime keep = owner->config.retention + owner->config.ahead;
  g_autoptr (GPtrArray) old = NULL;
  GHashTableIter iter;
  gpointer value;
  guint i;

  if (now.mono < owner->sweep_at)
    return;
  owner->sweep_at = now.mono + HS_SEC;
  old = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, owner->recovered);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Recovered *recovered = value;

      if (!recovered->claimed && now.mono - recovered->learnt >= keep)
        g_ptr_array_add (old, value);
    }
  for (i = 0; i < old->len; i++)
    recovered_drop (owner, old->pdata[i]);
}

void
recovered_agent_lost (HsOwner *owner, uint32_t agent)
{
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, owner->recovered);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Recovered *recovered = value;

      for (i = 0; i < recovered->results->len; i++)
        {
          RecoveredTask *task = recovered->results->pdata[i];

          if (task->agent != agent || task->outcome != HSX_RUNNING)
            continue;
          count_running (owner, recovered, task, -1);
          task->outcome = HSX_MAYBE;
        }
    }
}

void
recover_agent (HsOwner *owner, uint32_t handle)
{
  Agent *agent = &owner->agents[handle];
  hsx_part_epoch parts[HSX_PARTS_MAX];
  hsx_recover_args args = { { 0, parts }, 0 };
  uint32_t i;

  if (agent->recovering)
    return;
  for (i = 0; i < owner->config.partitions; i++)
    {
      if (owner->parts[i].state == PART_FOREIGN)
        continue;
      parts[args.parts.parts_len].part = i;
      parts[args.parts.parts_len].epoch = owner->parts[i].epoch;
      args.parts.parts_len++;
    }
  agent->recovering = true;
  /* Pages of one reply belong to the generation of the first. */
  if (agent->cursor == 0)
    agent->recover_sent = owner->generation;
  args.cursor = agent->cursor;
  owner->effects.recover (owner->arg, agent->incarnation, &args);
}

void
recovery_check (HsOwner *owner, HsNow now)
{
  uint32_t i;

  for (i = 0; i < owner->config.partitions && owner->recovering > 0; i++)
    {
      Part *part = &owner->parts[i];
      bool answered;

      if (part->state != PART_RECOVERING)
        continue;
      answered = agents_answered (owner, part->generation);
      if (!answered && now.mono < part->recover_until)
        continue;
      if (part->staged_epoch != 0)
        part->uncertain_before_ms = part->staged_floor_ms;
      else if (!part->fresh)
        part->uncertain_before_ms
            = answered ? uncertain_before (owner, now.wall_ms)
                       : now.wall_ms
                             + (owner->config.ahead + 2 * owner->config.skew)
                                   / HS_MSEC;
      part->staged_epoch = 0;
      part_serve (owner, i, now);
    }
}

void
parts_drop_staged (Part *part)
{
  if (part->staged != NULL)
    g_ptr_array_unref (part->staged);
  part->staged = NULL;
  part->staged_epoch = 0;
  part->staged_whole = false;
}

static Recovered *
recovered_get (HsOwner *owner,
               const char *customer,
               const char *id,
               uint32_t part,
               HsNow now)
{
  char key[JOB_KEY_SIZE];
  Recovered *recovered;

  job_key (key, customer, id);
  recovered = recovered_find (owner, key);
  if (recovered != NULL)
    return recovered;
  recovered = talloc_zero (owner, Recovered);
  memcpy (recovered->key, key, sizeof recovered->key);
  recovered->part = part;
  recovered->learnt = now.mono;
  recovered->results = g_ptr_array_new ();
  g_hash_table_insert (owner->recovered, recovered->key, recovered);
  return recovered;
}

static void
take_record (HsOwner *owner,
             uint32_t handle,
             const hsx_result *record,
             HsNow now)
{
  const hsx_task_key *key = &record->key;
  Job *job = job_find (owner, key->customer, key->id);
  Recovered *recovered;
  RecoveredTask *task;
  guint i;

  if (key->part >= owner->config.partitions || !hs_owner_owns (owner, key->part)
      || record->outcome == HSX_REFUSED)
    return;
  if (job != NULL)
    {
      Task *own;

      if (job->unfinished == 0 || key->index >= job->n_tasks)
        return;
      own = &job->tasks[key->index];
      if (own->state == TASK_HELD)
        task_mark_sent (owner, own, handle, now);
      if (own->state == TASK_SENT && own->agent == handle)
        task_take_result (owner, own, record, now);
      return;
    }
  recovered = recovered_get (owner, key->customer, key->id, key->part, now);
  for (i = 0; i < recovered->results->len; i++)
    if (((RecoveredTask *) recovered->results->pdata[i])->index == key->index)
      return;
  task = talloc_zero (recovered, RecoveredTask);
  task->index = key->index;
  task->content = key->content;
  task->agent = handle;
  task->outcome = record->outcome;
  task->http_status = record->http_status;
  task->body_len = record->body.body_len;
  task->body
      = talloc_memdup (task, record->body.body_val, record->body.body_len);
  g_ptr_array_add (recovered->results, task);
  customer_get (owner, key->customer, now);
  count_running (owner, recovered, task, 1);
}

/* Tasks that run count against the customer's limit whoever started them. */
static void
count_running (HsOwner *owner,
               const Recovered *recovered,
               const RecoveredTask *task,
               int change)
{
  g_autofree char *name = NULL;
  Customer *customer;

  if (task->outcome != HSX_RUNNING)
    return;
  name = g_strndup (recovered->key, strcspn (recovered->key, "/"));
  customer = g_hash_table_lookup (owner->customers, name);
  if (customer != NULL)
    customer->in_flight += (uint32_t) change;
}

static void
part_serve (HsOwner *owner, uint32_t part, HsNow now)
{
  Part *p = &owner->parts[part];
  GHashTableIter iter;
  gpointer value;

  p->state = PART_SERVING;
  owner->recovering--;
  g_hash_table_iter_init (&iter, owner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Job *job = value;

      if (job->part == part && !job->claiming && job->unfinished > 0)
        task_enqueue_all (owner, job, now);
    }
  request_parked (owner, p, now);
}

/*
 * Which ids may have been started by an agent that can't tell any more: those
 * minted before it was lost, with the margins of the clocks.
 */
static int64_t
uncertain_before (const HsOwner *owner, int64_t wall_ms)
{
  int64_t margin = (owner->config.ahead + 2 * owner->config.skew) / HS_MSEC;
  int64_t newest = owner->complete_since_ms;
  uint32_t i;

  for (i = 0; i < owner->n_agents; i++)
    {
      const Agent *agent = &owner->agents[i];

      if (agent->lost_ms > newest)
        newest = agent->lost_ms;
      if (agent->forgetful && agent->lost_ms == 0)
        newest = MAX (newest, wall_ms - owner->config.retention / HS_MSEC);
    }
  return newest == 0 ? 0 : newest + margin;
}

static bool
agents_answered (const HsOwner *owner, uint32_t generation)
{
  uint32_t i;

  for (i = 0; i < owner->n_agents; i++)
    {
      const Agent *agent = &owner->agents[i];

      if (agent->lost_ms == 0 && agent->recovered < generation)
        return false;
    }
  return true;
}

static void
reroute_all (HsOwner *owner, uint32_t part)
{
  g_autoptr (GArray) parked = owner->parts[part].parked;
  guint i;

  owner->parts[part].parked = NULL;
  for (i = 0; parked != NULL && i < parked->len; i++)
    {
      HsWaiter waiter = g_array_index (parked, Parked, i).waiter;

      g_hash_table_remove (owner->waiters, &waiter);
      owner->effects.reroute (owner->arg, waiter);
    }
}

static void
drop_part_jobs (HsOwner *owner, uint32_t part)
{
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  g_autoptr (GArray) waiters = g_array_new (FALSE, FALSE, sizeof (HsWaiter));
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, owner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Job *) value)->part == part)
      g_ptr_array_add (jobs, value);
  for (i = 0; i < jobs->len; i++)
    {
      Job *job = jobs->pdata[i];

      if (job->waiters != NULL)
        g_array_append_vals (waiters, job->waiters->data, job->waiters->len);
      job_drop (owner, job);
    }
  g_ptr_array_set_size (jobs, 0);
  g_hash_table_iter_init (&iter, owner->recovered);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Recovered *) value)->part == part)
      g_ptr_array_add (jobs, value);
  for (i = 0; i < jobs->len; i++)
    recovered_drop (owner, jobs->pdata[i]);
  for (i = 0; i < waiters->len; i++)
    owner->effects.reroute (owner->arg, g_array_index (waiters, HsWaiter, i));
}
