/**
 * @file
 * An entry's view of the targets: the free resources that their agents
 * reported, less what this entry has used since, and how fast and healthy
 * they are.
 *
 * Load pattern: several entries place tasks on the same targets at the same
 * time, each with a view that is some milliseconds old. Each launch is
 * subtracted from the view until a report of the agent includes it, so an
 * entry never sends more than it knows to be free.
 */
#ifndef HS_DIRECT_TARGETS_H
#define HS_DIRECT_TARGETS_H

#include <stdbool.h>

#include <talloc.h>

#include "base/time.h"
#include "direct/evacuations.h"
#include "policy/health.h"
#include "proto/hspoke.h"

#define HS_TARGET_NONE UINT32_MAX

typedef struct HsTargets HsTargets;

/** The targets of a service on which a task may be started. While a customer is
 *  contained (see policy/containment.h), its tasks run on the reserve only, and
 *  those of others on the common targets. */
typedef enum
{
  HS_TARGETS_ALL,
  HS_TARGETS_RESERVE,
  HS_TARGETS_COMMON
} HsTargetGroup;

/** One target. jobs.c updates `n_tasks`; entry_links.c counts `orders_sent` and
 *  sets `last_message_at` after a pause of this process; targets.c sets all
 *  else. */
typedef struct
{
  bool in_use;
  bool connected;
  uint64_t agent_incarnation; /**< Incarnation of its agent. */
  uint64_t serial;            /**< Counts the agents by their first reports. */
  hsx_target_state state;
  char name[HSX_NAME_MAX + 1];
  char service[HSX_NAME_MAX + 1];
  char rack[HSX_NAME_MAX + 1];
  char host[HSX_NAME_MAX + 1];
  char data_centre[HSX_NAME_MAX + 1];
  hsx_room capacity;
  hsx_room reported_free;  /**< Free resources in the last report. */
  hsx_room unacknowledged; /**< Resources of launches that the last report
                                doesn't include. */
  HsTime offer_until;      /**< The reported resources are reserved for this
                                entry until then. */
  uint32_t orders_sent;    /**< Number of the last orders message. */
  int64_t report_stamp_us; /**< When the agent sent the last report, by its own
                                clock. */
  HsTime last_message_at;
  uint32_t n_tasks; /**< Tasks of this entry there. */
  bool reserve;     /**< In HS_TARGETS_RESERVE. Entries that know the same
                         targets agree on it. */
  bool crashed;     /**< And isn't ready again. */
  HsTime warm_at;   /**< Until then its runs are slower than usual. */
  bool evacuated;   /**< Nothing may be started in its data centre. */
  double slowdown;  /**< Mean ratio of run time to expected run time; 1 if as
                        expected. */
} HsTarget;

HsTargets *hs_targets_new (TALLOC_CTX *ctx);

/** Marks the target of an agent as connected, and adds it if it isn't known.
 *  @return its handle */
uint32_t hs_targets_connect (HsTargets *targets,
                             uint64_t agent,
                             const char *data_centre,
                             HsTime now);

/**
 * Whether the first report on a new connection is newer than all reports of
 * that agent so far. A report sent on an earlier connection may arrive late and
 * list tasks that have ended since.
 */
bool hs_targets_report_is_newer (const HsTargets *targets,
                                 uint64_t agent,
                                 int64_t stamp_us);

/** The connection is lost, and with it the launches that no report has
 *  included. */
void hs_targets_disconnect (HsTargets *targets, uint32_t target);

/** Removes a target; its handle may be used again. */
void hs_targets_remove (HsTargets *targets, uint32_t target);

/** The target of a handle; valid until the next hs_targets_connect(). */
HsTarget *hs_targets_get (HsTargets *targets, uint32_t target);

/** One above the highest handle. */
uint32_t hs_targets_table_size (const HsTargets *targets);

/** Applies the evacuations, and keeps them for targets that connect later. To
 *  be called again after each change. @param evacuations NULL: none */
void hs_targets_set_evacuations (HsTargets *targets,
                                 const HsEvacuations *evacuations);

/** Whether a task has no target because of evacuations: one that could hold it
 *  is evacuated, or all of the service are, and no other one could hold it. */
bool hs_targets_are_evacuated (const HsTargets *targets,
                               const char *service,
                               const hsx_room *needs);

/** Updates free resources, state and description from a report. */
void hs_targets_apply_report (HsTargets *targets,
                              uint32_t target,
                              const hsx_report_args *report,
                              HsTime now);

/**
 * Records a launch.
 * @param needs its resources
 * @param number of the orders message that carries it
 */
void hs_targets_launch_sent (HsTargets *targets,
                             uint32_t target,
                             const hsx_room *needs,
                             uint32_t number);

/** Raises the level of contention, which counts for all targets: a launch was
 *  refused because another entry had taken the resources that this entry's view
 *  showed as free. */
void hs_targets_record_contention (HsTargets *targets, HsTime now);

/**
 * Records the end of a task.
 * @param customer handle of the job's customer
 * @param run its run time
 * @param expected its expected run time, or 0 if it failed
 */
void hs_targets_task_ended (HsTargets *targets,
                            uint32_t target,
                            uint32_t customer,
                            bool failed,
                            HsTime run,
                            HsTime expected,
                            HsTime now);

/**
 * Free resources of a target by this entry's view; none if it may not be used.
 * Of resources that aren't reserved for this entry, a share is held back that
 * grows with the number of recent refusals: an entry that waits for an offer
 * instead needs only one message each way.
 */
hsx_room hs_targets_free_resources (const HsTargets *targets,
                                    uint32_t target,
                                    HsTime now);

/** Whether the capacity of any target of a service that isn't evacuated is
 *  enough for @p needs. */
bool hs_targets_can_hold (const HsTargets *targets,
                          const char *service,
                          const hsx_room *needs);

/** Whether a target of a service and a group is ready. */
bool hs_targets_any_ready (HsTargets *targets,
                           const char *service,
                           HsTargetGroup group);

/** The number of targets of a service that are known. */
uint32_t hs_targets_count (HsTargets *targets, const char *service);

/** The target of a host has crashed.
 *  @return whether it is in the reserve; false if it isn't known */
bool hs_targets_host_crashed (HsTargets *targets,
                              const char *service,
                              const char *host);

/** Whether contained customers of a service may start tasks: a target of the
 *  reserve is ready, and under a third of the service's targets are down after
 * a crash. */
bool hs_targets_reserve_is_open (HsTargets *targets, const char *service);

/** Whether a task that is to run in @p group may be started on a target. */
bool hs_target_in_group (const HsTarget *target, HsTargetGroup group);

/** Whether a task fits into what is free on a target, as far as known. */
bool hs_targets_has_room (HsTargets *targets,
                          uint32_t target,
                          const hsx_room *needs,
                          HsTime now);

/**
 * Chooses the target for a task.
 * @param group in which the task may run
 * @param data_centre of this entry; its targets are preferred
 * @param avoid the target of a failed attempt, or HS_TARGET_NONE; used only
 *        if there is no other
 * @return a handle, or HS_TARGET_NONE
 */
uint32_t hs_targets_choose (HsTargets *targets,
                            const char *service,
                            HsTargetGroup group,
                            const hsx_room *needs,
                            const char *data_centre,
                            uint32_t avoid,
                            HsTime now);

/**
 * Sums up the processors of a service, in thousandths of a core.
 * @param[out] capacity_milli of its targets that are ready
 * @param[out] free_milli free by this entry's view
 */
void hs_targets_sum_capacity (const HsTargets *targets,
                              const char *service,
                              uint64_t *capacity_milli,
                              uint64_t *free_milli,
                              HsTime now);

/**
 * The run time above which a target counts as slow compared with the others.
 * @param expected run time of the task
 * @return 0 while too many targets are unresponsive for any to be excluded
 */
HsTime hs_targets_slow_threshold (const HsTargets *targets, HsTime expected);

/** Makes the changes of health states that are due by time. */
void hs_targets_tick (HsTargets *targets, HsTime now);

#endif
