/* Messages between the entries and agents of a simulated load. */
#include "direct/backlog.h"
#include "load_private.h"

/* One-way delay between an entry and an agent. */
static HsTime
delay (unsigned int entry, unsigned int agent)
{
  const LoadPlan *plan = load_world.plan;

  if (plan->central)
    return 0;
  if (plan->remote_delay == 0
      || load_entry_data_centre (plan, entry)
             == load_agent_data_centre (plan, agent))
    return MESSAGE_DELAY;
  return plan->remote_delay;
}

static void
send_orders (Entry *entry, unsigned int a, const hsx_want *backlog)
{
  HsTarget *target = hs_targets_get (entry->targets, a);
  Msg *msg = load_send_message (MSG_ORDERS, delay (entry->number, a));
  GArray *launches = entry->launches[a];
  GArray *stops = entry->stops[a];

  load_world.result.entries[entry->number].orders++;
  msg->entry = entry->number;
  msg->agent = a;
  msg->sent = load_world.now;
  msg->orders.number = ++target->orders_sent;
  msg->orders.stamp_us = target->report_stamp_us;
  msg->orders.want = *backlog;
  msg->orders.stops.stops_len = stops->len;
  msg->orders.stops.stops_val = g_memdup2 (stops->data, stops->len * 8);
  /* In the simulation each launch has one task. */
  msg->orders.launches.launches_len = launches->len;
  msg->orders.launches.launches_val = (hsx_launch *) g_memdup2 (
      launches->data, launches->len * sizeof (Launch));
  g_array_set_size (launches, 0);
  g_array_set_size (stops, 0);
  entry->ordered_at[a] = load_world.now;
  entry->orders_due[a] = false;
  entry->backlog_sent[a] = backlog->rank > 0;
}

static void
receive_orders (Agent *agent, Msg *msg)
{
  const Launch *launches
      = (const Launch *) (const void *) msg->orders.launches.launches_val;
  u_int i;

  agent->orders_seen[msg->entry] = msg->orders.number;
  hs_runs_set_backlog (agent->runs, msg->entry, &msg->orders.want,
                       msg->orders.stamp_us);
  for (i = 0; i < msg->orders.stops.stops_len; i++)
    hs_runs_stop (agent->runs, msg->entry, msg->orders.stops.stops_val[i],
                  msg->sent, load_world.now);
  for (i = 0; i < msg->orders.launches.launches_len; i++)
    {
      hs_runs_launch (agent->runs, msg->entry, &launches[i].launch,
                      &launches[i].task, msg->sent, load_world.now);
      g_free (launches[i].launch.job);
      g_free (launches[i].launch.customer);
    }
  g_free (msg->orders.launches.launches_val);
  g_free (msg->orders.stops.stops_val);
}

static void
send_report (Agent *agent, unsigned int e)
{
  Msg *msg = load_send_message (MSG_REPORT, delay (e, agent->number));
  GArray *ends = agent->ends[e];

  msg->entry = e;
  msg->agent = agent->number;
  msg->report.agent = agent->number + 1;
  msg->report.stamp_us = load_world.now;
  msg->report.orders_seen = agent->orders_seen[e];
  msg->report.state = hs_runs_target_state (agent->runs);
  msg->report.free = hs_runs_available (agent->runs, e, load_world.now);
  msg->report.offer = agent->offer_due[e];
  msg->report.ends.ends_len = ends->len;
  msg->report.ends.ends_val
      = g_memdup2 (ends->data, ends->len * sizeof (hsx_end));
  g_array_set_size (ends, 0);
  if (agent->crash_due[e])
    msg->crash = *hs_runs_last_crash (agent->runs);
  agent->crash_due[e] = false;
  agent->offer_due[e] = false;
  agent->report_due[e] = false;
  agent->reported_at[e] = load_world.now;
}

static void
receive_report (Entry *entry, Msg *msg)
{
  char host[16];
  hsx_target_info info
      = { (char *) "t", (char *) "s", (char *) "r", host, { 0 } };
  HsCrashMessage message;
  u_int i;

  g_snprintf (host, sizeof host, "h%u", msg->agent);

  info.capacity.cpu_milli = load_world.agents[msg->agent].cpu_milli;
  info.capacity.memory_mb = 1000000;
  msg->report.info = &info;
  hs_targets_apply_report (entry->targets, msg->agent, &msg->report,
                           load_world.now);
  if (msg->crash.number > 0)
    {
      hs_crash_message_fill (&message, &msg->crash, msg->report.stamp_us);
      message.crash.agent = msg->report.agent;
      message.crash.service = info.service;
      message.crash.host = host;
      hs_jobs_target_crashed (entry->jobs, &message.crash, load_world.now);
    }
  for (i = 0; i < msg->report.ends.ends_len; i++)
    hs_jobs_task_ended (entry->jobs, msg->agent, &msg->report.ends.ends_val[i],
                        load_world.now);
  g_free (msg->report.ends.ends_val);
  entry->orders_due[msg->agent] |= msg->report.offer;
  hs_jobs_dispatch (entry->jobs, load_world.now);
}

/* Answers a poll if a run has ended or the poll's wait is over. */
static bool
try_poll (Agent *agent, const Msg *msg)
{
  HsTargetList list;
  HsTargetResult result;

  /* A crash breaks the connections of the polls in progress. */
  if (msg->result == HS_TARGET_OK && load_agent_is_down (agent))
    {
      hs_runs_poll_done (agent->runs, msg->poll.number, HS_TARGET_UNANSWERED,
                         NULL, load_world.now);
      return true;
    }
  if (msg->result != HS_TARGET_OK)
    {
      hs_runs_poll_done (agent->runs, msg->poll.number, msg->result, NULL,
                         load_world.now);
      return true;
    }
  if (agent->model.ends->len == 0
      && load_world.now < msg->sent + msg->poll.wait_ms * HS_MSEC)
    return false;
  result
      = hs_target_model_poll (&agent->model, &msg->poll, &list, load_world.now);
  hs_runs_poll_done (agent->runs, msg->poll.number, result,
                     result == HS_TARGET_OK ? &list : NULL, load_world.now);
  if (result == HS_TARGET_OK)
    {
      g_free (list.running);
      g_free (list.ends);
    }
  return true;
}

void
load_deliver_messages (void)
{
  guint i = 0;

  while (i < load_world.messages->len)
    {
      Msg *msg = g_array_index (load_world.messages, Msg *, i);
      bool consumed = true;

      if (msg->due > load_world.now)
        {
          i++;
          continue;
        }
      switch (msg->kind)
        {
        case MSG_ORDERS:
          receive_orders (&load_world.agents[msg->agent], msg);
          break;
        case MSG_REPORT:
          receive_report (&load_world.entries[msg->entry], msg);
          break;
        case MSG_STARTED:
          hs_runs_start_done (load_world.agents[msg->agent].runs, msg->run,
                              msg->result, load_world.now);
          break;
        case MSG_POLL:
          consumed = try_poll (&load_world.agents[msg->agent], msg);
          break;
        case MSG_STOP:
          break;
        }
      if (!consumed)
        {
          i++;
          continue;
        }
      g_array_remove_index (load_world.messages, i);
      g_free (msg);
    }
}

/* Steps of the processes. */

void
load_step_agent (Agent *agent)
{
  HsTime report_interval = MIN (
      7 * HS_MSEC * load_links_per_agent (load_world.plan), HEARTBEAT_INTERVAL);
  unsigned int e;

  if (!load_agent_is_down (agent))
    hs_target_model_advance (&agent->model, load_world.now);
  hs_runs_tick (agent->runs, load_world.now);
  for (e = 0; e < load_world.plan->n_entries; e++)
    if (load_world.entries[e].linked[agent->number]
        && (agent->ends[e]->len > 0 || agent->offer_due[e]
            || agent->crash_due[e]
            || load_world.now - agent->reported_at[e]
                   >= (agent->report_due[e] ? report_interval
                                            : HEARTBEAT_INTERVAL)))
      send_report (agent, e);
}

void
load_step_entry (Entry *entry)
{
  hsx_want none = { 0 };
  hsx_want backlogs[2]; /* For the common targets, for the reserve. */
  unsigned int n_agents = load_world.plan->n_agents;
  unsigned int n_informed[2] = { 0 };
  unsigned int first = entry->next_backlog_agent;
  unsigned int a;
  unsigned int k;

  hs_jobs_tick (entry->jobs, load_world.now);
  hs_targets_tick (entry->targets, load_world.now);
  for (k = 0; k < 2; k++)
    backlogs[k] = hs_jobs_backlog (entry->jobs, k == 1, load_world.now);
  for (a = 0; a < n_agents; a++)
    n_informed[hs_targets_get (entry->targets, a)->reserve]
        += entry->backlog_sent[a];
  for (k = 0; k < n_agents; k++)
    {
      const hsx_want *backlog;
      bool asked;
      bool stated;
      bool reserve;

      a = (first + k) % n_agents;
      reserve = hs_targets_get (entry->targets, a)->reserve;
      backlog = &backlogs[reserve];
      asked = entry->backlog_sent[a];
      stated = hs_backlog_should_report (asked, n_informed[reserve],
                                         backlog->tasks);

      if (!entry->linked[a])
        continue;
      if ((asked || !stated) && entry->launches[a]->len == 0
          && entry->stops[a]->len == 0 && !entry->orders_due[a]
          && load_world.now - entry->ordered_at[a] < HEARTBEAT_INTERVAL)
        continue;
      if (!asked && stated)
        entry->next_backlog_agent = a + 1;
      n_informed[reserve] += (unsigned int) stated - (unsigned int) asked;
      send_orders (entry, a, stated ? backlog : &none);
    }
}
