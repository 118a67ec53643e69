/**
 * @file
 * Declarations shared by the source files of the agent.
 */
#ifndef HS_AGENT_INTERNAL_H
#define HS_AGENT_INTERNAL_H

#include "agent/agent.h"
#include "agent/admission.h"
#include "agent/registration.h"
#include "agent/start_log.h"
#include "agent/connected_entries.h"
#include "agent/crash_watch.h"
#include "agent/slots.h"
#include "agent/target_api.h"
#include "http/curl_loop.h"
#include "rpc/conn.h"

#define HS_AGENT_LOG_PART "agent"

/** State of the agent's target. */
typedef enum
{
  HS_TARGET_ABSENT,  /**< Not announced yet. */
  HS_TARGET_UP,      /**< Announced, and not expired. */
  HS_TARGET_LEAVING, /**< Has sent a leave, but tasks still run. */
  HS_TARGET_DEPARTED /**< Its leave is complete, or its announcement has
                           expired. */
} HsTargetState;

/** Phases of the agent's own leave; see hs_agent_leave(). */
typedef enum
{
  HS_AGENT_RUNNING,
  HS_AGENT_LEAVING,         /**< Tasks run, or results are unsent. */
  HS_AGENT_ANNOUNCING_LEFT, /**< Until accepted, or a timeout. */
  HS_AGENT_LEFT
} HsAgentPhase;

struct HsAgent
{
  struct tevent_context *ev;
  const HsAgentSettings *settings;
  char *data_centre;
  uint64_t incarnation;
  char *address; /**< Announced to entries. */
  HsRpc *rpc;
  HsCurl *curl;
  TALLOC_CTX *target_calls; /**< Calls in progress; freed before `curl`. */
  HsStartLog *start_log;
  HsSlots *slots;
  HsAdmission *admission;
  HsTargetApi *api;
  HsConnectedEntries *connected_entries;
  HsRegistration *registration;
  HsTargetState target_state;
  HsTargetAnnouncement target;
  HsTime target_expires_at;
  HsCrashWatch *crash_watch;
  bool target_unreachable; /**< Refused a connection since it announced. */
  HsAgentPhase phase;
  HsTime phase_since;
  /** Incarnation of the entry that gets the results of each partition. */
  uint64_t result_receivers[HSX_PARTS_MAX];
  struct tevent_immediate *grants_event;
  bool grants_scheduled;
  HsAgentStats stats;
};

/**
 * Updates the slots, the credits and the announced member record after a
 * change of the target's state or of the agent's phase.
 */
void hs_agent_apply_target_change (HsAgent *agent);

/**
 * Schedules the granting of free slots and the sending of lists of credits
 * for the end of the loop's turn.
 */
void hs_agent_schedule_grants (HsAgent *agent);

/** Handle START, RECOVER and SETTLE of an entry. */
void hs_agent_on_start (HsAgent *agent,
                        HsConnectedEntry *sender,
                        const hsx_start *start,
                        HsTime now);
void hs_agent_on_recover (HsAgent *agent,
                          HsConnectedEntry *sender,
                          HsConn *conn,
                          HsRpcCallId call,
                          const hsx_recover_args *args);
void hs_agent_on_settle (HsAgent *agent,
                         HsConn *conn,
                         HsRpcCallId call,
                         const hsx_settle_args *args,
                         HsTime now);

/**
 * Fills in the member record that the agent announces; its strings belong to
 * the agent.
 */
void hs_agent_fill_member (const HsAgent *agent, hsx_member *member);

/** Marks the target as departed if its announcement has expired. */
void hs_agent_check_target_expiry (HsAgent *agent, HsTime now);

/** Handlers of the target's requests; `arg` is the agent. */
extern const HsTargetApiHandler HS_AGENT_TARGET_HANDLER;

/** Completes the leave of the target if its last task has ended. */
void hs_agent_task_ended (HsAgent *agent);

#endif
