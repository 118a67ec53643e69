/**
 * @file
 * The set of evacuated data centres, in which no task is started, with the
 * revision of the store up to which it is complete. It arrives by several ways
 * (reads and watches of the store, other entries) and in any order: a set of a
 * higher revision replaces one of a lower revision, never the other way round.
 */
#ifndef HS_DIRECT_EVACUATIONS_H
#define HS_DIRECT_EVACUATIONS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

typedef struct HsEvacuations HsEvacuations;

/** A change of one data centre, as the store reports it. */
typedef struct
{
  const char *data_centre;
  int64_t revision;
  bool begun; /**< Otherwise its evacuation has ended. */
} HsEvacuationChange;

/** Called for each evacuation that a call begins or ends. */
typedef void (*HsEvacuationFunc) (void *arg, const HsEvacuationChange *change);

/** Creates a set that isn't known yet, owned by @p ctx.
 *  @param func may be NULL */
HsEvacuations *
hs_evacuations_new (TALLOC_CTX *ctx, HsEvacuationFunc func, void *arg);

/** Whether a set has been received. */
bool hs_evacuations_is_known (const HsEvacuations *evacuations);

/** The revision up to which the set is complete; 0 while it isn't known. */
int64_t hs_evacuations_revision (const HsEvacuations *evacuations);

/** The number of evacuated data centres. */
uint32_t hs_evacuations_count (const HsEvacuations *evacuations);

/** The name of an evacuated data centre; valid until the next change.
 *  @param i below hs_evacuations_count() */
const char *hs_evacuations_get (const HsEvacuations *evacuations, uint32_t i);

/** Whether tasks may be started in a data centre. Nowhere while the set isn't
 *  known; everywhere if @p evacuations is NULL, as evacuation is not in use. */
bool hs_evacuations_may_start (const HsEvacuations *evacuations,
                               const char *data_centre);

/** Whether tasks may be started in all data centres. @param evacuations as for
 *  hs_evacuations_may_start() */
bool hs_evacuations_may_start_anywhere (const HsEvacuations *evacuations);

/**
 * Replaces the set by a complete one, unless that is no newer.
 * @param names valid names; repeated ones count once
 * @return whether the revision has risen, so that the set is to be sent on
 */
bool hs_evacuations_replace (HsEvacuations *evacuations,
                             const char *const *names,
                             uint32_t n,
                             int64_t revision);

/**
 * Applies changes, the oldest first. They follow the last ones without a gap;
 * those that the set includes already are ignored, and all of them while the
 * set isn't known.
 * @return whether the revision has risen, so that the set is to be sent on
 */
bool hs_evacuations_apply (HsEvacuations *evacuations,
                           const HsEvacuationChange *changes,
                           uint32_t n);

#endif
