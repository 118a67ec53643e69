/**
 * @file
 * An entry's view of the targets: the room that their agents told of, less
 * what this entry has sent since, and how fast and sound they are.
 *
 * Load pattern: several entries place on the same targets at once, each with
 * a view some milliseconds old. Each launch counts against the view until a
 * report of the agent includes it, so that an entry never sends more than it
 * knows to be free.
 */
#ifndef HS_DIRECT_TARGETS_H
#define HS_DIRECT_TARGETS_H

#include <stdbool.h>

#include <talloc.h>

#include "base/time.h"
#include "policy/health.h"
#include "proto/hspoke.h"

#define HS_TARGET_NONE UINT32_MAX

typedef struct HsTargets HsTargets;

/** One target; read only for others. */
typedef struct
{
  bool in_use;
  bool connected;
  uint64_t agent; /**< Incarnation of its agent. */
  hsx_target_state state;
  char name[HSX_NAME_MAX + 1];
  char service[HSX_NAME_MAX + 1];
  char rack[HSX_NAME_MAX + 1];
  char host[HSX_NAME_MAX + 1];
  char data_centre[HSX_NAME_MAX + 1];
  hsx_room capacity;
  hsx_room reported_free;  /**< Free, as of the last report. */
  hsx_room unacknowledged; /**< Sent since, as the report doesn't show it. */
  HsTime offer_until;   /**< The told room is kept for this entry until then. */
  uint32_t orders_sent; /**< Number of the last orders. */
  int64_t report_stamp_us; /**< Of the last report. */
  HsTime last_heard_at;
  uint32_t n_tasks; /**< Tasks of this entry there. */
  double slowness;  /**< Run time over the expected one; 1: as expected. */
} HsTarget;

HsTargets *hs_targets_new (TALLOC_CTX *ctx);

/** The handle of an agent's target, made if it isn't known. */
uint32_t hs_targets_connect (HsTargets *targets,
                             uint64_t agent,
                             const char *data_centre,
                             HsTime now);

/**
 * Whether a report on a connection that isn't in use yet is newer than all
 * that came from that agent. Bytes of an earlier connection may arrive after
 * those of a later one; what they say was held is no longer so.
 */
bool hs_targets_report_is_newer (const HsTargets *targets,
                                 uint64_t agent,
                                 int64_t stamp_us);

/** The connection is gone; what was sent on it and not seen is gone too. */
void hs_targets_disconnect (HsTargets *targets, uint32_t target);

/** Forgets it. */
void hs_targets_remove (HsTargets *targets, uint32_t target);

HsTarget *hs_targets_get (HsTargets *targets, uint32_t target);

/** One above the highest handle. */
uint32_t hs_targets_table_size (const HsTargets *targets);

/** Takes what a report says of room and state. */
void hs_targets_apply_report (HsTargets *targets,
                              uint32_t target,
                              const hsx_report_args *report,
                              HsTime now);

/** Notes a launch sent in orders of this number. */
void hs_targets_launch_sent (HsTargets *targets,
                             uint32_t target,
                             const hsx_room *needs,
                             uint32_t number);

/** Notes a launch that was refused for want of room: the view was wrong. */
void hs_targets_launch_refused (HsTargets *targets, HsTime now);

/** Notes how a task ended. */
void hs_targets_task_ended (HsTargets *targets,
                            uint32_t target,
                            uint32_t customer,
                            bool failed,
                            HsTime run,
                            HsTime expected,
                            HsTime now);

/**
 * Room left by this entry's view; none if it may not be used. Of room that
 * isn't kept for this entry, the more is held back the more often launches
 * were refused of late: who waits for an offer instead is served by one
 * message there and back.
 */
hsx_room hs_targets_free_resources (const HsTargets *targets,
                                    uint32_t target,
                                    HsTime now);

/** Whether anything of a service is up that could ever hold @p needs. */
bool hs_targets_can_hold (const HsTargets *targets,
                          const char *service,
                          const hsx_room *needs);

/**
 * The target to start a task on, or HS_TARGET_NONE.
 * @param data_centre of this entry: near targets are preferred
 * @param avoid the target of an attempt that failed, or HS_TARGET_NONE; used
 *        only if there is no other
 */
uint32_t hs_targets_choose (HsTargets *targets,
                            const char *service,
                            const hsx_room *needs,
                            const char *data_centre,
                            uint32_t avoid,
                            HsTime now);

/** Room of a service: all, and free by this entry's view. */
void hs_targets_sum_capacity (const HsTargets *targets,
                              const char *service,
                              uint64_t *capacity_milli,
                              uint64_t *free_milli,
                              HsTime now);

/** A run time that shows a target to be slow, beside what the others take; 0
 *  while too many take nothing. @param expected of the task */
HsTime hs_targets_slow_threshold (const HsTargets *targets, HsTime expected);

/** Applies states of health that change by time. */
void hs_targets_tick (HsTargets *targets, HsTime now);

#endif
