/**
 * @file
 * What a load run submits: arrivals, sizes and run times drawn from a seed.
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
  double tasks_per_s; /**< Used in place of jobs_per_s unless 0. */
  double seconds;
  ScenarioSize sizes[SCENARIO_SIZES_MAX];
  uint32_t n_sizes;
  uint32_t run_min_ms; /**< Run times are log-uniform. */
  uint32_t run_max_ms;
  double resubmit_share;
  double cancel_share;
  double opaque_share;
  uint32_t seed;
  uint32_t slots;
  uint32_t timeout_ms;    /**< Of one attempt. */
  bool fresh_connections; /**< A connection for each request. */
} Scenario;

/** A job to submit. */
typedef struct
{
  HsTime at; /**< Since the start of the run. */
  uint32_t customer;
  uint32_t entry;
  uint32_t n_tasks;
  uint32_t *run_ms;      /**< Talloc child of the plan. */
  bool opaque;           /**< The id isn't a UUIDv7. */
  HsTime resubmit_after; /**< Since the arrival; negative: never. */
  HsTime cancel_after;   /**< Since the arrival; negative: never. */
} PlannedJob;

/** Reads "1:0.6,30:0.4". False if it is malformed. */
bool scenario_parse_sizes (Scenario *scenario, const char *text);

/** Reads "50-1000". False if it is malformed. */
bool scenario_parse_run_ms (Scenario *scenario, const char *text);

/** Draws all jobs, ordered by arrival. @return talloc child of @p ctx */
PlannedJob *
scenario_plan (TALLOC_CTX *ctx, const Scenario *scenario, size_t *n);

#endif
