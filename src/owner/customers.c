/**
 * @file
 * Customers: their allowances, as the lists of plans give them.
 */
#include <string.h>

#include "base/error.h"
#include "owner/internal.h"

static void apply_allowance (HsOwner *owner, Customer *customer, HsNow now);
static void
fail_waiting_tasks (HsOwner *owner, const Customer *customer, HsNow now);

Customer *
customer_find_or_add (HsOwner *owner, const char *name, HsNow now)
{
  Customer *customer = g_hash_table_lookup (owner->customers, name);

  if (customer != NULL)
    return customer;
  customer = talloc_zero (owner, Customer);
  g_strlcpy (customer->name, name, sizeof customer->name);
  customer->flow = hs_fair_queue_add_flow (owner->queue, 1);
  customer->containment = customer_containment (owner, customer->name);
  if (owner->flows->len <= customer->flow)
    g_ptr_array_set_size (owner->flows, (gint) customer->flow + 1);
  owner->flows->pdata[customer->flow] = customer;
  g_hash_table_insert (owner->customers, customer->name, customer);
  apply_allowance (owner, customer, now);
  return customer;
}

void
customers_refresh (HsOwner *owner, HsNow now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->customers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Customer *customer = value;

      apply_allowance (owner, customer, now);
      if (!customer->has_plan && customer->queued > 0)
        fail_waiting_tasks (owner, customer, now);
    }
}

static void
apply_allowance (HsOwner *owner, Customer *customer, HsNow now)
{
  const HsAllowance *allowance
      = hs_lists_customer_allowance (owner->lists, customer->name);
  bool had_plan = customer->has_plan;

  customer->has_plan = allowance != NULL;
  if (allowance == NULL)
    return;
  customer->allowance = *allowance;
  if (had_plan)
    hs_bucket_set_limits (&customer->bucket, allowance->starts_per_s,
                          allowance->burst, now.mono);
  else
    hs_bucket_init (&customer->bucket, allowance->starts_per_s,
                    allowance->burst, now.mono);
  hs_fair_queue_set_weight (owner->queue, customer->flow, allowance->weight);
  hs_fair_queue_wake_flow (owner->queue, customer->flow);
}

/* True if a task waits for a retry, not for a claim or for its partition. */
static bool
awaits_retry (const HsOwner *owner, const Task *task)
{
  return task->state == TASK_DEFERRED && !task->job->claim_pending
         && owner->partitions[task->job->part].state == PARTITION_SERVING;
}

/* Ends the waiting tasks of a customer whose plan was removed: they can't start
   any more. */
static void
fail_waiting_tasks (HsOwner *owner, const Customer *customer, HsNow now)
{
  guint i;

  for (i = 0; i < owner->tasks->len; i++)
    {
      Task *task = owner->tasks->pdata[i];

      if (task != NULL && task->job->customer == customer
          && (task->state == TASK_QUEUED || awaits_retry (owner, task)))
        task_finish (owner, task, HSX_TASK_NOT_RUN, HS_ERROR_NOT_FOUND, 0, NULL,
                     0, now);
    }
}
