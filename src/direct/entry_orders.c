/* Orders to agents: launches and stops, collected until the end of the loop
   iteration, and what is reported of the backlog. */
#include <string.h>

#include "direct/backlog.h"
#include "direct/entry_private.h"
#include "direct/liveness.h"
#include "direct/resources.h"

/** What waits for a group of targets. */
typedef struct
{
  hsx_want want;
  uint32_t n_asked; /**< Agents whose last orders reported a backlog. */
} Backlog;

/** What waits for the common targets, and for the reserve. */
typedef struct
{
  Backlog common;
  Backlog reserve;
} Backlogs;

static void send_orders (HsDirectEntry *entry,
                         uint32_t target,
                         const hsx_want *backlog,
                         HsTime now);
static hsx_want
backlog_for (HsDirectEntry *entry, Backlogs *backlogs, uint32_t target);
static uint32_t count_asked (HsDirectEntry *entry, bool reserve);
static void send_backlog (HsDirectEntry *entry,
                          Backlogs *backlogs,
                          bool reserve,
                          HsTime now);
static void outbox_open (HsDirectEntry *entry, HsOutbox *outbox);
static bool is_same_job (const hsx_launch *a, const hsx_launch *b);
static bool outbox_take_back (HsOutbox *outbox, uint64_t ref);

uint32_t
hs_entry_orders_launch (HsDirectEntry *entry,
                        uint32_t target,
                        const hsx_launch *job,
                        const hsx_launch_task *task)
{
  HsAgentLink *link = hs_entry_links_at (entry, target);
  HsOutbox *outbox = &link->outbox;
  hsx_launch *last = NULL;
  hsx_launch copy;

  if (link->conn == NULL || !link->reconciled)
    return 0;
  outbox_open (entry, outbox);
  if (outbox->launches->len > 0)
    last = &g_array_index (outbox->launches, hsx_launch,
                           outbox->launches->len - 1);
  /* One that is empty was taken back; its job is another one. */
  if (last == NULL || last->tasks.tasks_len == 0 || !is_same_job (last, job)
      || last->tasks.tasks_len == HSX_TASKS_MAX)
    {
      copy = *job;
      copy.job = talloc_strdup (outbox->ctx, job->job);
      copy.customer = talloc_strdup (outbox->ctx, job->customer);
      copy.spec.spec_val
          = talloc_memdup (outbox->ctx, job->spec.spec_val, job->spec.spec_len);
      copy.tasks.tasks_val
          = talloc_array (outbox->ctx, hsx_launch_task, HSX_TASKS_MAX);
      copy.tasks.tasks_len = 0;
      g_array_append_val (outbox->launches, copy);
      last = &g_array_index (outbox->launches, hsx_launch,
                             outbox->launches->len - 1);
    }
  last->tasks.tasks_val[last->tasks.tasks_len++] = *task;
  hs_entry_schedule (entry, false);
  return hs_targets_get (entry->targets, target)->orders_sent + 1;
}

void
hs_entry_orders_stop (HsDirectEntry *entry, uint32_t target, uint64_t ref)
{
  HsAgentLink *link = hs_entry_links_at (entry, target);

  if (link->conn == NULL || outbox_take_back (&link->outbox, ref))
    return;
  outbox_open (entry, &link->outbox);
  link->outbox.stops_since
      = MIN (link->outbox.stops_since, entry->callers_check.checked_until);
  g_array_append_val (link->outbox.stops, ref);
  hs_entry_schedule (entry, false);
}

HsTime
hs_entry_orders_flush (HsDirectEntry *entry, HsTime now)
{
  Backlogs backlogs = {
    { hs_jobs_backlog (entry->jobs, false, now), count_asked (entry, false) },
    { hs_jobs_backlog (entry->jobs, true, now), count_asked (entry, true) }
  };
  HsTime due = HS_NEVER;
  uint32_t i;

  send_backlog (entry, &backlogs, false, now);
  send_backlog (entry, &backlogs, true, now);
  for (i = 0; i < entry->n_links; i++)
    {
      HsAgentLink *link = &entry->links[i];
      hsx_want backlog;

      if (link->conn == NULL)
        continue;
      if (link->outbox.ctx != NULL || link->offer_unanswered
          || now >= link->orders_sent_at + HS_HEARTBEAT_INTERVAL)
        {
          backlog = backlog_for (entry, &backlogs, i);
          send_orders (entry, i, &backlog, now);
        }
      due = MIN (due, link->orders_sent_at + HS_HEARTBEAT_INTERVAL);
    }
  return due;
}

/* A report may have waited to be read: the agent's clock is at least as far as
   the latest ones tell. */
static void
note_stamp (HsAgentLink *link, HsTime stamp, HsTime now)
{
  HsTime passed
      = (now - link->agent_clock_at) * (100 - HS_CLOCK_DRIFT_PERCENT) / 100;

  link->agent_clock = link->agent_clock_at == 0
                          ? stamp
                          : MAX (stamp, link->agent_clock + passed);
  link->agent_clock_at = now;
}

void
hs_entry_orders_note_report (HsAgentLink *link,
                             const hsx_report_args *report,
                             HsTime now)
{
  note_stamp (link, report->stamp_us, now);
  if (link->probe_orders == 0 || report->orders_seen < link->probe_orders)
    return;
  link->delivered_until = link->probe_until;
  link->probe_orders = 0;
}

void
hs_entry_orders_note_lost_stops (HsAgentLink *link)
{
  link->outbox.stops_since
      = MIN (link->outbox.stops_since, link->delivered_until);
}

void
hs_entry_orders_clear (HsOutbox *outbox)
{
  if (outbox->ctx == NULL)
    return;
  g_array_unref (outbox->launches);
  g_array_unref (outbox->stops);
  TALLOC_FREE (outbox->ctx);
}

static void
send_orders (HsDirectEntry *entry,
             uint32_t handle,
             const hsx_want *backlog,
             HsTime now)
{
  HsTarget *target = hs_targets_get (entry->targets, handle);
  HsAgentLink *link = &entry->links[handle];
  HsOutbox *outbox = &link->outbox;
  hsx_orders_args args = { .agent = target->agent_incarnation,
                           .number = target->orders_sent + 1,
                           .stamp_us = target->report_stamp_us,
                           .want = *backlog };

  args.stamp_age_us
      = (unsigned int) CLAMP (now - target->last_message_at, 0, UINT32_MAX);
  if (outbox->ctx != NULL)
    {
      args.launches.launches_val
          = (hsx_launch *) (void *) outbox->launches->data;
      args.launches.launches_len = outbox->launches->len;
      args.stops.stops_val = (uint64_t *) (void *) outbox->stops->data;
      args.stops.stops_len = outbox->stops->len;
    }
  if (args.stops.stops_len > 0)
    args.stops_since_us
        = link->agent_clock + outbox->stops_since - link->agent_clock_at;
  target->orders_sent++;
  link->orders_sent_at = now;
  if (link->probe_orders == 0)
    {
      link->probe_orders = target->orders_sent;
      link->probe_until = entry->callers_check.checked_until;
    }
  link->backlog_sent = backlog->rank > 0;
  link->offer_unanswered = false;
  hs_conn_call (link->conn, HSX_ORDERS, &args, HS_NEVER, NULL, NULL);
  hs_entry_orders_clear (outbox);
}

/* The backlog that orders to a target state. An agent that is no longer needed
   or usable is told of no backlog, in its next orders, which are sent in any
   case. */
static hsx_want
backlog_for (HsDirectEntry *entry, Backlogs *backlogs, uint32_t target)
{
  Backlog *backlog = hs_targets_get (entry->targets, target)->reserve
                         ? &backlogs->reserve
                         : &backlogs->common;

  if (!entry->links[target].backlog_sent)
    return (hsx_want){ 0 };
  if (hs_targets_get (entry->targets, target)->evacuated)
    return (hsx_want){ 0 };
  if (hs_backlog_should_report (true, backlog->n_asked, backlog->want.tasks))
    return backlog->want;
  backlog->n_asked--;
  return (hsx_want){ 0 };
}

/* The number of agents whose last orders reported a backlog.
   @reserve: of those of the reserve, or of the others */
static uint32_t
count_asked (HsDirectEntry *entry, bool reserve)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < entry->n_links; i++)
    n += entry->links[i].conn != NULL && entry->links[i].backlog_sent
         && !hs_targets_get (entry->targets, i)->evacuated
         && hs_targets_get (entry->targets, i)->reserve == reserve;
  return n;
}

/* Reports the backlog to more agents that may be used, in round-robin order, if
   it has grown.
   @reserve: to those of the reserve, or to the others */
static void
send_backlog (HsDirectEntry *entry,
              Backlogs *backlogs,
              bool reserve,
              HsTime now)
{
  Backlog *backlog = reserve ? &backlogs->reserve : &backlogs->common;
  uint32_t i;

  if (backlog->want.rank == 0)
    return;
  for (i = 0; i < entry->n_links
              && hs_backlog_should_report (false, backlog->n_asked,
                                           backlog->want.tasks);
       i++)
    {
      uint32_t k = entry->next_backlog_agent++ % entry->n_links;

      if (entry->links[k].conn == NULL || entry->links[k].backlog_sent
          || hs_targets_get (entry->targets, k)->evacuated
          || hs_targets_get (entry->targets, k)->reserve != reserve)
        continue;
      backlog->n_asked++;
      send_orders (entry, k, &backlog->want, now);
    }
}

static void
outbox_open (HsDirectEntry *entry, HsOutbox *outbox)
{
  if (outbox->ctx != NULL)
    return;
  outbox->ctx = talloc_new (entry);
  outbox->stops_since = HS_NEVER;
  outbox->launches = g_array_new (FALSE, FALSE, sizeof (hsx_launch));
  outbox->stops = g_array_new (FALSE, FALSE, sizeof (uint64_t));
}

static bool
is_same_job (const hsx_launch *a, const hsx_launch *b)
{
  return strcmp (a->job, b->job) == 0 && strcmp (a->customer, b->customer) == 0
         && hs_resources_equal (&a->needs, &b->needs)
         && a->spec.spec_len == b->spec.spec_len
         && memcmp (a->spec.spec_val, b->spec.spec_val, a->spec.spec_len) == 0;
}

/* Takes back the launch of a start that hasn't been sent. */
static bool
outbox_take_back (HsOutbox *outbox, uint64_t ref)
{
  guint i;
  u_int k;

  if (outbox->ctx == NULL)
    return false;
  for (i = 0; i < outbox->launches->len; i++)
    {
      hsx_launch *launch = &g_array_index (outbox->launches, hsx_launch, i);

      for (k = 0; k < launch->tasks.tasks_len; k++)
        if (launch->tasks.tasks_val[k].ref == ref)
          {
            launch->tasks.tasks_val[k]
                = launch->tasks.tasks_val[--launch->tasks.tasks_len];
            return true;
          }
    }
  return false;
}
