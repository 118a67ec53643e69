#include "direct/cancelled_jobs.h"

#include <string.h>

#include <glib.h>

#include "proto/hspoke.h"

/** A job with its strings in one allocation, as there are many. */
typedef struct
{
  HsCancelledJob job;
  char text[]; /* The id, then the customer. */
} Item;

struct HsCancelledJobs
{
  GHashTable *links; /* Of HsCancelledJob, to the item's link in `order`. */
  GQueue order;      /* Of Item, by when they were last added. */
};

static int free_jobs (HsCancelledJobs *jobs);
static unsigned int hash_job (const void *job);
static int is_same_job (const void *a, const void *b);
static GList *
find (const HsCancelledJobs *jobs, const char *customer, const char *id);
static Item *new_item (TALLOC_CTX *ctx, const char *customer, const char *id);
static void drop_first (HsCancelledJobs *jobs);

HsCancelledJobs *
hs_cancelled_jobs_new (TALLOC_CTX *ctx)
{
  HsCancelledJobs *jobs = talloc_zero (ctx, HsCancelledJobs);

  jobs->links = g_hash_table_new (hash_job, is_same_job);
  g_queue_init (&jobs->order);
  talloc_set_destructor (jobs, free_jobs);
  return jobs;
}

bool
hs_cancelled_jobs_add (HsCancelledJobs *jobs,
                       const char *customer,
                       const char *id,
                       HsTime cancelled_at,
                       HsTime now)
{
  GList *link = find (jobs, customer, id);
  const Item *first;
  Item *item = link != NULL ? link->data : NULL;

  if (now >= cancelled_at + HS_CANCELLED_JOBS_SPAN)
    return false;
  if (item != NULL && item->job.cancelled_at >= cancelled_at)
    return false;
  if (item != NULL)
    {
      item->job.cancelled_at = cancelled_at;
      g_queue_unlink (&jobs->order, link);
      g_queue_push_tail_link (&jobs->order, link);
      return true;
    }
  while ((first = g_queue_peek_head (&jobs->order)) != NULL
         && (jobs->order.length >= HS_CANCELLED_JOBS_MAX
             || now >= first->job.cancelled_at + HS_CANCELLED_JOBS_SPAN))
    drop_first (jobs);
  item = new_item (jobs, customer, id);
  item->job.cancelled_at = cancelled_at;
  g_queue_push_tail (&jobs->order, item);
  g_hash_table_insert (jobs->links, &item->job, jobs->order.tail);
  return true;
}

bool
hs_cancelled_jobs_has (const HsCancelledJobs *jobs,
                       const char *customer,
                       const char *id,
                       HsTime now)
{
  const GList *link = find (jobs, customer, id);
  const Item *item;

  if (link == NULL)
    return false;
  item = link->data;
  return now < item->job.cancelled_at + HS_CANCELLED_JOBS_SPAN;
}

uint32_t
hs_cancelled_jobs_list (const HsCancelledJobs *jobs,
                        HsTime since,
                        HsCancelledJob *list,
                        uint32_t max)
{
  const GList *link;
  uint32_t n = 0;

  for (link = jobs->order.tail; link != NULL && n < max; link = link->prev)
    {
      const Item *item = link->data;

      if (item->job.cancelled_at >= since)
        list[n++] = item->job;
    }
  return n;
}

uint32_t
hs_cancelled_jobs_count (const HsCancelledJobs *jobs)
{
  return jobs->order.length;
}

static int
free_jobs (HsCancelledJobs *jobs)
{
  g_hash_table_destroy (jobs->links);
  g_queue_clear (&jobs->order);
  return 0;
}

static unsigned int
hash_job (const void *job)
{
  return g_str_hash (((const HsCancelledJob *) job)->id);
}

/* Messages between entries carry HSX_NAME_MAX bytes of a customer's name. */
static int
is_same_job (const void *a, const void *b)
{
  const HsCancelledJob *one = a;
  const HsCancelledJob *other = b;

  return strcmp (one->id, other->id) == 0
         && strncmp (one->customer, other->customer, HSX_NAME_MAX) == 0;
}

static GList *
find (const HsCancelledJobs *jobs, const char *customer, const char *id)
{
  HsCancelledJob key = { .customer = customer, .id = id };

  return g_hash_table_lookup (jobs->links, &key);
}

static Item *
new_item (TALLOC_CTX *ctx, const char *customer, const char *id)
{
  size_t id_size = strlen (id) + 1;
  size_t customer_len = strnlen (customer, HSX_NAME_MAX);
  Item *item
      = talloc_zero_size (ctx, sizeof *item + id_size + customer_len + 1);

  memcpy (item->text, id, id_size);
  memcpy (item->text + id_size, customer, customer_len);
  item->job.id = item->text;
  item->job.customer = item->text + id_size;
  return item;
}

static void
drop_first (HsCancelledJobs *jobs)
{
  Item *item = g_queue_pop_head (&jobs->order);

  g_hash_table_remove (jobs->links, &item->job);
  talloc_free (item);
}
