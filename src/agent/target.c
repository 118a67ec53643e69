#include <string.h>

#include "agent/internal.h"
#include "base/error.h"
#include "base/log.h"

static bool on_announce (void *arg, const HsAnnouncement *a, GError **error);
static bool on_leave (void *arg);
static char *on_metrics (void *arg, TALLOC_CTX *ctx);
static void target_gone (HsAgent *agent, const char *why);

const HsTargetApiHandler HS_AGENT_TARGET_HANDLER
    = { .announce = on_announce, .leave = on_leave, .metrics = on_metrics };

void
hs_agent_update (HsAgent *agent)
{
  bool grants = agent->target_state == HS_TARGET_UP
                && agent->stage == HS_AGENT_RUNNING && !agent->target_refuses;

  hs_slots_resize (agent->slots, grants ? agent->target.slots : 0);
  hs_agent_schedule_plan (agent);
  if (!agent->target_refuses)
    hs_home_changed (agent->home);
}

void
hs_agent_member (const HsAgent *agent, hsx_member *out)
{
  bool up
      = agent->target_state == HS_TARGET_UP && agent->stage == HS_AGENT_RUNNING;
  bool leaving = agent->stage != HS_AGENT_RUNNING
                 || agent->target_state == HS_TARGET_LEAVING
                 || agent->target_state == HS_TARGET_GONE;

  memset (out, 0, sizeof *out);
  out->incarnation = agent->incarnation;
  out->state = leaving ? HSX_MEMBER_LEAVING : HSX_MEMBER_UP;
  if (agent->stage == HS_AGENT_SAYS_LEFT || agent->stage == HS_AGENT_LEFT)
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
hs_agent_check_lapse (HsAgent *agent, HsTime now)
{
  if (agent->target_state == HS_TARGET_UP && now > agent->target_lapses_at)
    target_gone (agent, "no longer renews its announcement");
}

void
hs_agent_task_ended (HsAgent *agent)
{
  if (agent->target_state == HS_TARGET_LEAVING
      && hs_slots_busy (agent->slots) == 0)
    target_gone (agent, "has left");
}

static bool
on_announce (void *arg, const HsAnnouncement *announcement, GError **error)
{
  HsAgent *agent = arg;
  bool renewal = agent->target_state == HS_TARGET_UP && !agent->target_refuses
                 && strcmp (agent->target.address, announcement->address) == 0
                 && agent->target.slots == announcement->slots
                 && memcmp (&agent->target.capacity, &announcement->capacity,
                            sizeof announcement->capacity)
                        == 0;

  if (agent->stage != HS_AGENT_RUNNING
      || agent->target_state == HS_TARGET_LEAVING)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_SHUTTING_DOWN,
                   "the agent or its target is leaving; announce again when "
                   "the leave is answered or the agent runs anew");
      return false;
    }
  agent->target_lapses_at = hs_now ().mono + announcement->ttl;
  agent->target = *announcement;
  if (renewal)
    return true;
  hs_info (HS_AGENT_PART, "target %s announced, %u slots",
           announcement->address, announcement->slots);
  agent->target_state = HS_TARGET_UP;
  agent->target_refuses = false;
  hs_agent_update (agent);
  return true;
}

static bool
on_leave (void *arg)
{
  HsAgent *agent = arg;

  if (hs_slots_busy (agent->slots) == 0)
    {
      if (agent->target_state == HS_TARGET_UP)
        target_gone (agent, "has left");
      return true;
    }
  if (agent->target_state == HS_TARGET_LEAVING)
    return false;
  hs_info (HS_AGENT_PART, "target %s is leaving, %u tasks run",
           agent->target.address, hs_slots_busy (agent->slots));
  agent->target_state = HS_TARGET_LEAVING;
  hs_agent_update (agent);
  return false;
}

static char *
on_metrics (void *arg, TALLOC_CTX *ctx)
{
  const HsAgent *agent = arg;
  HsAgentGauges gauges = {
    .slots = agent->target_state == HS_TARGET_UP ? agent->target.slots : 0,
    .busy = hs_slots_busy (agent->slots),
    .entries = hs_peers_count (agent->peers),
    .records = hs_memory_count (agent->memory),
    .body_bytes = hs_memory_body_bytes (agent->memory),
  };

  return hs_agent_stats_text (ctx, &agent->stats, &gauges);
}

static void
target_gone (HsAgent *agent, const char *why)
{
  hs_info (HS_AGENT_PART, "target %s %s", agent->target.address, why);
  agent->target_state = HS_TARGET_GONE;
  agent->target_refuses = false;
  hs_agent_update (agent);
  hs_target_api_left (agent->api);
}
