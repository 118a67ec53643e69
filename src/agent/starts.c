#include "agent/internal.h"
#include "base/log.h"

/* A task that runs on the target. */
typedef struct
{
  HsAgent *agent;
  HsTaskHandle handle;
  uint32_t part;
  uint32_t slot;
  uint64_t epoch;
} Run;

static void
begin (HsAgent *agent, HsPeer *peer, const hsx_start *start, HsTime now);
static void refuse (HsAgent *agent,
                    HsPeer *peer,
                    const hsx_start *start,
                    hsx_refusal refusal,
                    HsTime now);
static void on_end (void *arg, HsTargetEnd end, const HsFinish *finish);
static void target_refused (HsAgent *agent);

void
hs_agent_on_start (HsAgent *agent,
                   HsPeer *peer,
                   const hsx_start *start,
                   HsTime now)
{
  HsGateTarget target = {
    .leaving
    = agent->target_state != HS_TARGET_UP || agent->stage != HS_AGENT_RUNNING,
    .capacity = agent->target.capacity,
  };
  hsx_refusal refusal = hs_gate_check (agent->gate, &target, start, now);

  if (refusal == HSX_REFUSAL_NONE)
    begin (agent, peer, start, now);
  else
    refuse (agent, peer, start, refusal, now);
}

static void
begin (HsAgent *agent, HsPeer *peer, const hsx_start *start, HsTime now)
{
  Run *run = talloc_zero (agent, Run);
  uint64_t entry = hs_peer_incarnation (peer);

  run->agent = agent;
  run->part = start->key.part;
  run->slot = start->credit.slot;
  run->epoch = start->epoch;
  run->handle = hs_memory_start (agent->memory, &start->key, now);
  hs_slots_take (agent->slots, &start->credit, entry, now);
  agent->sinks[run->part] = entry;
  agent->stats.starts++;
  hs_target_call (agent->calls, agent->curl, agent->target.address, start,
                  on_end, run);
}

/* The sender of a refused start keeps its credit, as a new one. A duplicate
   is answered with what is known of the first start: it may have run. */
static void
refuse (HsAgent *agent,
        HsPeer *peer,
        const hsx_start *start,
        hsx_refusal refusal,
        HsTime now)
{
  HsOutgoing out
      = { .key = start->key, .refusal = refusal, .epoch = start->epoch };

  agent->stats.refusals[refusal]++;
  if (refusal == HSX_REFUSAL_DUPLICATE)
    out.handle = hs_memory_find (agent->memory, &start->key);
  if (hs_slots_valid (agent->slots, &start->credit))
    out.has_next
        = hs_slots_regrant (agent->slots, start->credit.slot,
                            hs_peer_incarnation (peer), now, &out.next);
  hs_peer_queue (peer, &out);
}

static void
on_end (void *arg, HsTargetEnd end, const HsFinish *finish)
{
  Run *run = arg;
  HsAgent *agent = run->agent;
  uint64_t entry = agent->sinks[run->part];
  HsPeer *peer = hs_peers_find (agent->peers, entry);
  HsOutgoing out = { .handle = run->handle };
  hsx_result record;

  agent->stats.ends[end]++;
  if (end == HS_TARGET_UNSENT)
    {
      target_refused (agent);
      hs_memory_result (agent->memory, run->handle, &record);
      out = (HsOutgoing){ .key = record.key,
                          .refusal = HSX_REFUSAL_TARGET,
                          .epoch = run->epoch };
    }
  else
    hs_memory_finish (agent->memory, run->handle, finish);
  out.has_next = hs_slots_release (agent->slots, run->slot, entry,
                                   hs_now ().mono, &out.next);
  if (!out.has_next)
    hs_agent_schedule_plan (agent);
  if (peer != NULL)
    hs_peer_queue (peer, &out);
  else
    agent->stats.unsent++;
  if (end == HS_TARGET_UNSENT)
    hs_memory_remove (agent->memory, run->handle);
  hs_agent_task_ended (agent);
  talloc_free (run);
}

/* A closed port grants nothing until the target's next announcement. */
static void
target_refused (HsAgent *agent)
{
  agent->stats.refusals[HSX_REFUSAL_TARGET]++;
  if (agent->target_refuses)
    return;
  hs_warn (HS_AGENT_PART,
           "target %s can't be connected to; no grants until "
           "it announces itself again",
           agent->target.address);
  agent->target_refuses = true;
  hs_agent_update (agent);
}
