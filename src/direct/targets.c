#include "direct/targets_private.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "direct/resources.h"

/** Weight of a new run in a target's average slowdown. */
#define SLOWDOWN_WEIGHT 0.15

/** Bounds on the ratio of a single run to its expected run time, so that one
 *  unusual task doesn't dominate the average. */
#define RUN_RATIO_MIN 0.2
#define RUN_RATIO_MAX 8.0

/** A full target is rated as slower by this: idle targets are preferred, but a
 *  faster one still goes before them. */
#define LOAD_WEIGHT 0.3

/** A target in another data centre is rated as slower by this. */
#define REMOTE_PENALTY 0.04

/** Bound on the random part of a rating, so that entries with the same view
 *  don't all choose the same target. */
#define RANDOM_WEIGHT 0.1

/** Time constant with which launches refused for lack of resources are
 *  forgotten, and what each adds to the level of contention. */
#define CONTENTION_DECAY (500 * HS_MSEC)
#define CONTENTION_STEP 0.05

/** Share of a target's capacity held back while every launch is refused, for
 *  each second of the last report's age, and its bound. Several entries fill a
 *  target of ten tasks in less than 100 ms. */
#define RESERVE_SHARE_PER_S 10.0
#define RESERVE_SHARE_MAX 0.6

/** A run that takes this many times the expected run time is slow. As estimates
 *  are off by 40%, one run in a thousand does so by chance. */
#define SLOW_FACTOR 3.0

/** While more than this share of the targets is unresponsive, no run is stopped
 *  as slow: the other targets have to do the work. */
#define UNRESPONSIVE_PERCENT_MAX 30

/** Time after its arrival in which an offer can be used: as long as the agent
 *  reserves it, less the time that a launch takes to get there. */
#define OFFER_LIFETIME (20 * HS_MSEC)

static int free_targets (HsTargets *targets);
static uint32_t allocate_row (HsTargets *targets);
static void drop_acknowledged (HsTargetRow *row, uint32_t seen);
static double contention (const HsTargets *targets, HsTime now);
static hsx_room free_resources (const HsTargets *targets,
                                uint32_t handle,
                                double level,
                                HsTime now);
static double placement_score (const HsTarget *target, const char *data_centre);

HsTargets *
hs_targets_new (TALLOC_CTX *ctx)
{
  HsTargets *targets = talloc_zero (ctx, HsTargets);

  targets->rows = talloc_array (targets, HsTargetRow, 0);
  targets->health = hs_health_new (targets);
  /* A fixed seed makes placement reproducible: it depends only on the events
     that the process receives. */
  targets->random = g_rand_new_with_seed (1);
  talloc_set_destructor (targets, free_targets);
  return targets;
}

uint32_t
hs_targets_connect (HsTargets *targets,
                    uint64_t agent,
                    const char *data_centre,
                    HsTime now)
{
  uint32_t i;
  HsTarget *target;

  for (i = 0; i < targets->n_rows; i++)
    if (targets->rows[i].target.in_use
        && targets->rows[i].target.agent_incarnation == agent)
      break;
  if (i == targets->n_rows)
    {
      i = allocate_row (targets);
      targets->rows[i].target.agent_incarnation = agent;
      targets->rows[i].target.serial = ++targets->last_serial;
      targets->rows[i].target.slowdown = 1;
      hs_health_add (targets->health, i);
    }
  target = &targets->rows[i].target;
  targets->n_services = 0;
  target->connected = true;
  target->last_message_at = now;
  target->orders_sent = 0;
  target->state = HSX_TARGET_UNKNOWN;
  g_strlcpy (target->data_centre, data_centre, sizeof target->data_centre);
  drop_acknowledged (&targets->rows[i], UINT32_MAX);
  return i;
}

bool
hs_targets_report_is_newer (const HsTargets *targets,
                            uint64_t agent,
                            int64_t stamp_us)
{
  uint32_t i;

  for (i = 0; i < targets->n_rows; i++)
    if (targets->rows[i].target.in_use
        && targets->rows[i].target.agent_incarnation == agent)
      return stamp_us > targets->rows[i].target.report_stamp_us;
  return true;
}

void
hs_targets_disconnect (HsTargets *targets, uint32_t target)
{
  HsTargetRow *row = &targets->rows[target];

  targets->n_services = 0;
  row->target.connected = false;
  row->target.state = HSX_TARGET_UNKNOWN;
  drop_acknowledged (row, UINT32_MAX);
}

void
hs_targets_remove (HsTargets *targets, uint32_t target)
{
  HsTargetRow *row = &targets->rows[target];
  char service[HSX_NAME_MAX + 1];

  g_strlcpy (service, row->target.service, sizeof service);
  hs_health_remove (targets->health, target);
  g_array_set_size (row->unacknowledged, 0);
  memset (&row->target, 0, sizeof row->target);
  hs_targets_choose_reserve (targets, service);
}

HsTarget *
hs_targets_get (HsTargets *targets, uint32_t target)
{
  return &targets->rows[target].target;
}

uint32_t
hs_targets_table_size (const HsTargets *targets)
{
  return targets->n_rows;
}

void
hs_targets_apply_report (HsTargets *targets,
                         uint32_t handle,
                         const hsx_report_args *report,
                         HsTime now)
{
  HsTargetRow *row = &targets->rows[handle];
  HsTarget *target = &row->target;

  target->last_message_at = now;
  target->report_stamp_us = report->stamp_us;
  if (target->state != report->state)
    targets->n_services = 0;
  target->state = report->state;
  target->crashed = target->crashed && target->state != HSX_TARGET_READY;
  target->reported_free = report->free;
  target->offer_until = report->offer ? now + OFFER_LIFETIME : 0;
  if (report->info != NULL)
    {
      const hsx_target_info *info = report->info;

      g_strlcpy (target->name, info->name, sizeof target->name);
      g_strlcpy (target->service, info->service, sizeof target->service);
      g_strlcpy (target->rack, info->rack, sizeof target->rack);
      g_strlcpy (target->host, info->host, sizeof target->host);
      target->capacity = info->capacity;
      hs_targets_choose_reserve (targets, target->service);
    }
  drop_acknowledged (row, report->orders_seen);
}

void
hs_targets_launch_sent (HsTargets *targets,
                        uint32_t target,
                        const hsx_room *needs,
                        uint32_t number)
{
  HsTargetRow *row = &targets->rows[target];
  HsUnacknowledgedLaunch launch = { number, *needs };

  g_array_append_val (row->unacknowledged, launch);
  hs_resources_add (&row->target.unacknowledged, needs, 1);
}

void
hs_targets_record_contention (HsTargets *targets, HsTime now)
{
  targets->contention = MIN (1, contention (targets, now) + CONTENTION_STEP);
  targets->contention_at = now;
}

void
hs_targets_task_ended (HsTargets *targets,
                       uint32_t handle,
                       uint32_t customer,
                       bool failed,
                       HsTime run,
                       HsTime expected,
                       HsTime now)
{
  HsTarget *target = &targets->rows[handle].target;

  hs_health_record_result (targets->health, handle, customer, failed, run,
                           expected, now);
  hs_targets_tick (targets, now);
  if (!failed && expected > 0)
    {
      double ratio = CLAMP ((double) run / (double) expected, RUN_RATIO_MIN,
                            RUN_RATIO_MAX);

      target->slowdown = exp (log (target->slowdown) * (1 - SLOWDOWN_WEIGHT)
                              + log (ratio) * SLOWDOWN_WEIGHT);
    }
}

hsx_room
hs_targets_free_resources (const HsTargets *targets,
                           uint32_t handle,
                           HsTime now)
{
  return free_resources (targets, handle, contention (targets, now), now);
}

/* As hs_targets_free_resources(), at a known level of contention. */
static hsx_room
free_resources (const HsTargets *targets,
                uint32_t handle,
                double level,
                HsTime now)
{
  const HsTarget *target = &targets->rows[handle].target;
  hsx_room free_now = { 0 };

  if (!target->in_use || !target->connected
      || target->state != HSX_TARGET_READY)
    return free_now;
  switch (hs_health_state (targets->health, handle))
    {
    case HS_HEALTH_EJECTED:
      return free_now;
    case HS_HEALTH_PROBATION:
      if (target->n_tasks > 0)
        return free_now;
      break;
    case HS_HEALTH_OK:
      break;
    }
  free_now = target->reported_free;
  hs_resources_subtract (&free_now, &target->unacknowledged);
  if (now >= target->offer_until)
    {
      double age = (double) (now - target->last_message_at) / HS_SEC;
      double share = MIN (age * RESERVE_SHARE_PER_S, RESERVE_SHARE_MAX);
      hsx_room reserve = { 0 };

      reserve.cpu_milli
          = (unsigned int) (level * share * target->capacity.cpu_milli);
      hs_resources_subtract (&free_now, &reserve);
    }
  return free_now;
}

bool
hs_targets_can_hold (const HsTargets *targets,
                     const char *service,
                     const hsx_room *needs)
{
  uint32_t i;

  for (i = 0; i < targets->n_rows; i++)
    {
      const HsTarget *target = &targets->rows[i].target;

      if (target->in_use && strcmp (target->service, service) == 0
          && hs_resources_fit (&target->capacity, needs))
        return true;
    }
  return false;
}

bool
hs_targets_has_room (HsTargets *targets,
                     uint32_t target,
                     const hsx_room *needs,
                     HsTime now)
{
  hsx_room free_now = hs_targets_free_resources (targets, target, now);

  return free_now.cpu_milli > 0 && hs_resources_fit (&free_now, needs);
}

uint32_t
hs_targets_choose (HsTargets *targets,
                   const char *service,
                   HsTargetGroup group,
                   const hsx_room *needs,
                   const char *data_centre,
                   uint32_t avoid,
                   HsTime now)
{
  uint32_t best = HS_TARGET_NONE;
  bool second_choice = false;
  double best_score = 0;
  double level = contention (targets, now);
  uint32_t i;

  for (i = 0; i < targets->n_rows; i++)
    {
      const HsTarget *target = &targets->rows[i].target;
      hsx_room free_now = free_resources (targets, i, level, now);
      double candidate_score;

      if (!hs_resources_fit (&free_now, needs)
          || strcmp (target->service, service) != 0 || free_now.cpu_milli == 0
          || !hs_target_in_group (target, group))
        continue;
      if (i == avoid)
        {
          second_choice = true;
          continue;
        }
      candidate_score = placement_score (target, data_centre)
                        + RANDOM_WEIGHT * g_rand_double (targets->random);
      if (best == HS_TARGET_NONE || candidate_score < best_score)
        {
          best = i;
          best_score = candidate_score;
        }
    }
  return best == HS_TARGET_NONE && second_choice ? avoid : best;
}

void
hs_targets_sum_capacity (const HsTargets *targets,
                         const char *service,
                         uint64_t *capacity_milli,
                         uint64_t *free_milli,
                         HsTime now)
{
  double level = contention (targets, now);
  uint32_t i;

  *capacity_milli = 0;
  *free_milli = 0;
  for (i = 0; i < targets->n_rows; i++)
    {
      const HsTarget *target = &targets->rows[i].target;

      if (!target->in_use || strcmp (target->service, service) != 0)
        continue;
      if (target->state == HSX_TARGET_READY)
        *capacity_milli += target->capacity.cpu_milli;
      *free_milli += free_resources (targets, i, level, now).cpu_milli;
    }
}

HsTime
hs_targets_slow_threshold (const HsTargets *targets, HsTime expected)
{
  double median = MAX (hs_health_median_slowdown (targets->health), 1);
  uint32_t n = 0;
  uint32_t n_unresponsive = 0;
  uint32_t i;

  for (i = 0; i < targets->n_rows; i++)
    {
      const HsTarget *target = &targets->rows[i].target;

      n += target->in_use && target->connected;
      n_unresponsive += target->in_use && target->connected
                        && target->state == HSX_TARGET_MUTE;
    }
  if (n_unresponsive * 100 > n * UNRESPONSIVE_PERCENT_MAX)
    return 0;
  return (HsTime) (SLOW_FACTOR * median * (double) expected);
}

void
hs_targets_tick (HsTargets *targets, HsTime now)
{
  HsHealthState state;
  uint32_t target;

  while (hs_health_next_change (targets->health, now, &target, &state))
    ;
}

static int
free_targets (HsTargets *targets)
{
  uint32_t i;

  for (i = 0; i < targets->n_rows; i++)
    g_array_unref (targets->rows[i].unacknowledged);
  g_rand_free (targets->random);
  return 0;
}

static uint32_t
allocate_row (HsTargets *targets)
{
  uint32_t i;

  for (i = 0; i < targets->n_rows; i++)
    if (!targets->rows[i].target.in_use)
      break;
  if (i == targets->n_rows)
    {
      targets->rows = talloc_realloc (targets, targets->rows, HsTargetRow,
                                      targets->n_rows + 1);
      memset (&targets->rows[i], 0, sizeof (HsTargetRow));
      targets->rows[i].unacknowledged
          = g_array_new (FALSE, FALSE, sizeof (HsUnacknowledgedLaunch));
      targets->n_rows++;
    }
  targets->rows[i].target.in_use = true;
  return i;
}

static void
drop_acknowledged (HsTargetRow *row, uint32_t seen)
{
  guint n = 0;

  while (
      n < row->unacknowledged->len
      && g_array_index (row->unacknowledged, HsUnacknowledgedLaunch, n).number
             <= seen)
    {
      hs_resources_subtract (
          &row->target.unacknowledged,
          &g_array_index (row->unacknowledged, HsUnacknowledgedLaunch, n)
               .needs);
      n++;
    }
  if (n > 0)
    g_array_remove_range (row->unacknowledged, 0, n);
}

static double
placement_score (const HsTarget *target, const char *data_centre)
{
  double free = (double) target->reported_free.cpu_milli
                - (double) target->unacknowledged.cpu_milli;
  double load = 1 - free / MAX (target->capacity.cpu_milli, 1);
  double candidate_score = target->slowdown * (1 + LOAD_WEIGHT * load);

  if (strcmp (target->data_centre, data_centre) != 0)
    candidate_score += REMOTE_PENALTY;
  return candidate_score;
}

static double
contention (const HsTargets *targets, HsTime now)
{
  double age_spans
      = (double) (now - targets->contention_at) / (double) CONTENTION_DECAY;

  return targets->contention * exp (-age_spans);
}
