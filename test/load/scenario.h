/**
 * @file
 * Jobs that a run submits: arrivals, sizes and run times, drawn from a seed.
 */
#ifndef LOAD_SCENARIO_H
#define LOAD_SCENARIO_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "base/time.h"

#define SCENARIO_SIZES_MAX 16

typedef struct
{
  uint32_t n_tasks;
  double share;
} ScenarioSize;

typedef struct
{
  char **entries;   /**< URLs, NULL-terminated. */
  char **customers; /**< "NAME:KEY", NULL-terminated. */
  double jobs_per_s;
  double tasks_per_s; /**< If not 0, replaces jobs_per_s. */
  double seconds;     /**< Time during which jobs arrive. */
  ScenarioSize sizes[SCENARIO_SIZES_MAX];
  uint32_t n_sizes;
  uint32_t run_min_ms; /**< Run times are log-uniform between these. */
  uint32_t run_max_ms;
  double resubmit_share; /**< Of the jobs; so are the other shares. */
  double cancel_share;
  double opaque_share;
  uint32_t seed;
  uint32_t slots;         /**< Of the ideal. */
  uint32_t timeout_ms;    /**< Timeout of one attempt. */
  bool fresh_connections; /**< Open a new connection for each request. */
} Scenario;

/** A planned job. */
typedef struct
{
  HsTime at; /**< Since the start of the run. */
  uint32_t customer;
  uint32_t entry;
  uint32_t n_tasks;
  uint32_t *run_ms;      /**< By task; talloc child of the plan's owner. */
  bool opaque;           /**< The id is not a UUIDv7. */
  HsTime resubmit_after; /**< Since the arrival; negative: never. */
  HsTime cancel_after;   /**< Since the arrival; negative: never. */
} PlannedJob;

/**
 * Parses numbers of tasks with their shares, as "1:0.6,30:0.4"; returns false
 * if the text is malformed.
 */
bool scenario_parse_sizes (Scenario *scenario, const char *text);

/**
 * Parses a range of run times, as "50-1000"; returns false if the text is
 * malformed.
 */
bool scenario_parse_run_ms (Scenario *scenario, const char *text);

/**
 * Draws all jobs, ordered by arrival.
 * @param n set to their number
 * @return talloc child of @p ctx
 */
PlannedJob *
scenario_plan (TALLOC_CTX *ctx, const Scenario *scenario, size_t *n);

#endif
