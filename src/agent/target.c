#include <string.h>

#include "agent/internal.h"
#include "base/error.h"
#include "base/log.h"

static bool on_announce (void *arg,
                         const HsTargetAnnouncement *announcement,
                         GError **error);
static bool on_leave (void *arg);
static char *on_metrics (void *arg, TALLOC_CTX *ctx);
static void mark_target_departed (HsAgent *agent, const char *reason);

const HsTargetApiHandler HS_AGENT_TARGET_HANDLER
    = { .announce = on_announce, .leave = on_leave, .metrics = on_metrics };

void
hs_agent_apply_target_change (HsAgent *agent)
{
  bool accepts_tasks = agent->target_state == HS_TARGET_UP
                       && agent->phase == HS_AGENT_RUNNING
                       && !agent->target_unreachable;

  hs_slots_set_count (agent->slots, accepts_tasks ? agent->target.slots : 0);
  hs_agent_schedule_grants (agent);
  if (!agent->target_unreachable)
    hs_registration_update (agent->registration);
}

void
hs_agent_fill_member (const HsAgent *agent, hsx_member *out)
{
  bool up
      = agent->target_state == HS_TARGET_UP && agent->phase == HS_AGENT_RUNNING;
  bool leaving = agent->phase != HS_AGENT_RUNNING
                 || agent->target_state == HS_TARGET_LEAVING
                 || agent->target_state == HS_TARGET_DEPARTED;

  memset (out, 0, sizeof *out);
  out->incarnation = agent->incarnation;
  out->state = leaving ? HSX_MEMBER_LEAVING : HSX_MEMBER_UP;
  if (agent->phase == HS_AGENT_ANNOUNCING_LEFT || agent->phase == HS_AGENT_LEFT)
    out->state = HSX_MEMBER_LEFT;
  out->address = agent->address;
  out->data_centre = agent->data_centre;
  out->rack = agent->settings->rack != NULL ? agent->settings->rack : "";
  if (!up)
    return;
  out->slots = agent->target.slots;
  out->capacity = agent->target.capacity;
}

void
hs_agent_check_target_expiry (HsAgent *agent, HsTime now)
{
  if (agent->target_state == HS_TARGET_UP && now > agent->target_expires_at)
    mark_target_departed (agent, "did not renew its announcement in time");
}

void
hs_agent_task_ended (HsAgent *agent)
{
  if (agent->target_state == HS_TARGET_LEAVING
      && hs_slots_n_busy (agent->slots) == 0)
    mark_target_departed (agent, "has left");
}

static bool
on_announce (void *arg,
             const HsTargetAnnouncement *announcement,
             GError **error)
{
  HsAgent *agent = arg;
  bool is_renewal
      = agent->target_state == HS_TARGET_UP && !agent->target_unreachable
        && strcmp (agent->target.address, announcement->address) == 0
        && agent->target.slots == announcement->slots
        && memcmp (&agent->target.capacity, &announcement->capacity,
                   sizeof announcement->capacity)
               == 0;

  if (agent->phase != HS_AGENT_RUNNING
      || agent->target_state == HS_TARGET_LEAVING)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_SHUTTING_DOWN,
                   "the agent or its target is leaving; announce again after "
                   "the leave has been answered or the agent has restarted");
      return false;
    }
  agent->target_expires_at = hs_now ().mono + announcement->ttl;
  agent->target = *announcement;
  if (is_renewal)
    return true;
  hs_info (HS_AGENT_LOG_PART, "target %s announced with %u slots",
           announcement->address, announcement->slots);
  agent->target_state = HS_TARGET_UP;
  agent->target_unreachable = false;
  hs_agent_apply_target_change (agent);
  return true;
}

static bool
on_leave (void *arg)
{
  HsAgent *agent = arg;

  if (hs_slots_n_busy (agent->slots) == 0)
    {
      if (agent->target_state == HS_TARGET_UP)
        mark_target_departed (agent, "has left");
      return true;
    }
  if (agent->target_state == HS_TARGET_LEAVING)
    return false;
  hs_info (HS_AGENT_LOG_PART, "target %s leaving: %u tasks running",
           agent->target.address, hs_slots_n_busy (agent->slots));
  agent->target_state = HS_TARGET_LEAVING;
  hs_agent_apply_target_change (agent);
  return false;
}

static char *
on_metrics (void *arg, TALLOC_CTX *ctx)
{
  const HsAgent *agent = arg;
  HsAgentGauges gauges = {
    .slots = agent->target_state == HS_TARGET_UP ? agent->target.slots : 0,
    .slots_busy = hs_slots_n_busy (agent->slots),
    .entries = hs_connected_entries_count (agent->connected_entries),
    .records = hs_start_log_count (agent->start_log),
    .body_bytes = hs_start_log_body_bytes (agent->start_log),
  };

  return hs_agent_stats_text (ctx, &agent->stats, &gauges);
}

static void
mark_target_departed (HsAgent *agent, const char *reason)
{
  hs_info (HS_AGENT_LOG_PART, "target %s %s", agent->target.address, reason);
  agent->target_state = HS_TARGET_DEPARTED;
  agent->target_unreachable = false;
  hs_agent_apply_target_change (agent);
  hs_target_api_answer_leaves (agent->api);
}
