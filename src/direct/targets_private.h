/**
 * @file
 * Internals of an entry's view of the targets, shared by targets.c and
 * targets_groups.c.
 */
#ifndef HS_DIRECT_TARGETS_PRIVATE_H
#define HS_DIRECT_TARGETS_PRIVATE_H

#include <glib.h>

#include "direct/targets.h"

/** Services whose summary is kept; others are summed up each time. */
#define HS_SERVICES_CACHED 8

/** The targets of a service, summed up. */
typedef struct
{
  char service[HSX_NAME_MAX + 1];
  uint32_t n;
  uint32_t n_crashed;
  bool reserve_ready;
  bool common_ready;
} HsServiceSummary;

typedef struct
{
  uint32_t number;
  hsx_room needs;
} HsUnacknowledgedLaunch;

typedef struct
{
  HsTarget target;
  GArray *unacknowledged; /* HsUnacknowledgedLaunch, oldest first. */
} HsTargetRow;

struct HsTargets
{
  HsTargetRow *rows;
  uint32_t n_rows;
  uint64_t last_serial;
  HsHealth *health;
  GRand *random;
  const HsEvacuations *evacuations; /* NULL: not in use. */
  double contention; /* Level of recent refusals at contention_at, 0 to 1. */
  HsTime contention_at;
  /** Of the targets of each service; 0 of them after a change. */
  HsServiceSummary services[HS_SERVICES_CACHED];
  uint32_t n_services;
};

/** Chooses the reserve of a service anew, after its targets have changed. */
void hs_targets_choose_reserve (HsTargets *targets, const char *service);

#endif
