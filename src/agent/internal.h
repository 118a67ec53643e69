/**
 * @file
 * Shared by the files of the agent part only.
 */
#ifndef HS_AGENT_INTERNAL_H
#define HS_AGENT_INTERNAL_H

#include "agent/agent.h"
#include "agent/admission.h"
#include "agent/registration.h"
#include "agent/start_log.h"
#include "agent/peers.h"
#include "agent/slots.h"
#include "agent/target_api.h"
#include "http/curl_loop.h"
#include "rpc/conn.h"

#define HS_AGENT_LOG_PART "agent"

/** The target beside the agent. */
typedef enum
{
  HS_TARGET_ABSENT,  /**< Not announced yet. */
  HS_TARGET_UP,      /**< Announced and renewed in time. */
  HS_TARGET_LEAVING, /**< Leaves; tasks still run. */
  HS_TARGET_DEPARTED /**< Left, or its announcement lapsed. */
} HsTargetState;

/** Stages of the agent itself. */
typedef enum
{
  HS_AGENT_RUNNING,
  HS_AGENT_LEAVING, /**< Graceful stop; tasks run or results are unsent. */
  HS_AGENT_ANNOUNCING_LEFT,
  HS_AGENT_LEFT
} HsAgentStage;

struct HsAgent
{
  struct tevent_context *ev;
  const HsAgentSettings *settings;
  char *data_centre;
  uint64_t incarnation;
  char *address; /**< Announced to entries. */
  HsRpc *rpc;
  HsCurl *curl;
  TALLOC_CTX *target_calls; /**< Calls of the target; freed before `curl`. */
  HsStartLog *start_log;
  HsSlots *slots;
  HsAdmission *admission;
  HsTargetApi *api;
  HsPeers *peers;
  HsRegistration *registration;
  HsTargetState target_state;
  HsTargetAnnouncement target;
  HsTime target_expires_at;
  bool target_unreachable; /**< Its port is closed; wait for its renewal. */
  HsAgentStage stage;
  HsTime stage_since;
  uint64_t result_receivers[HSX_PARTS_MAX]; /**< Entry that gets a partition's
                                               results. */
  struct tevent_immediate *grants_event;
  bool grants_scheduled;
  HsAgentStats stats;
};

/** Brings slots, credits and the announcement in line with the target. */
void hs_agent_apply_target_change (HsAgent *agent);

/** Grants what is free and sends lists of credits, at the end of the turn. */
void hs_agent_schedule_grants (HsAgent *agent);

/** START, RECOVER and SETTLE of an entry. */
void hs_agent_on_start (HsAgent *agent,
                        HsPeer *peer,
                        const hsx_start *start,
                        HsTime now);
void hs_agent_on_recover (HsAgent *agent,
                          HsPeer *peer,
                          HsConn *conn,
                          HsRpcCallId call,
                          const hsx_recover_args *args);
void hs_agent_on_settle (HsAgent *agent,
                         HsConn *conn,
                         HsRpcCallId call,
                         const hsx_settle_args *args,
                         HsTime now);

/** The agent's record as it is announced; strings belong to the agent. */
void hs_agent_fill_member (const HsAgent *agent, hsx_member *member);

/** The target is gone if its announcement wasn't renewed in time. */
void hs_agent_check_target_expiry (HsAgent *agent, HsTime now);

/** What the agent does on the requests of its target; `arg` is the agent. */
extern const HsTargetApiHandler HS_AGENT_TARGET_HANDLER;

/** The target is gone if its announcement wasn't renewed in time. */
void hs_agent_check_target_expiry (HsAgent *agent, HsTime now);

/** What the agent does on requests of its target; `arg` is the agent. */
extern const HsTargetApiHandler HS_AGENT_TARGET_HANDLER;

/** A task has ended: a leaving target may be free now. */
void hs_agent_task_ended (HsAgent *agent);

#endif
