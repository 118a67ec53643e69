/**
 * @file
 * Limits how many targets one customer's tasks may take down at once. Decides
 * from crashes of targets whose tasks crash them, and contains that customer:
 * its tasks are then started on a few targets only, which others avoid.
 *
 * Load pattern: a share of one customer's jobs crash their target, each of them
 * another one, several times a second; a target is back after seconds. Other
 * customers have tasks on the same targets. Targets also crash by themselves,
 * alone or a rack at once.
 *
 * A crash is evidence against a customer if it had started a task there more
 * shortly before than by chance. Crashes at the same moment have a common cause
 * and count once. A customer is contained only while crashes are more frequent
 * than failures of hosts, and if the evidence against it is clearly the
 * strongest. It is released once enough of its jobs have ended well.
 */
#ifndef HS_POLICY_CONTAINMENT_H
#define HS_POLICY_CONTAINMENT_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

#define HS_CONTAINMENT_NONE UINT32_MAX

typedef struct HsContainment HsContainment;

/** A customer that had tasks on a target when it crashed. */
typedef struct
{
  const char *customer;
  HsTime age;        /**< Of its youngest task. */
  double jobs_per_s; /**< That it usually starts on this target. */
} HsCrashSuspect;

/** A customer was contained or released. */
typedef struct
{
  const char *service;
  const char *customer;
  bool contained;
  double score; /**< Of the evidence, in nats. */
} HsContainmentChange;

HsContainment *hs_containment_new (TALLOC_CTX *ctx);

/** The handle of a customer of a service, created at its first use;
 *  HS_CONTAINMENT_NONE if there are too many. */
uint32_t hs_containment_customer (HsContainment *containment,
                                  const char *service,
                                  const char *customer);

/** A crash of a target. */
typedef struct
{
  const char *service;
  HsTime at;          /**< When it crashed... */
  HsTime at_error;    /**< ...which is known to this accuracy. */
  uint32_t n_targets; /**< Of the service. */
  bool reserved;      /**< Contained customers are started there, others not. */
  const HsCrashSuspect *suspects; /**< The customers that had tasks there. */
  uint32_t n_suspects;
} HsCrashEvidence;

/** Judges the crash of a target. */
void hs_containment_add_crash (HsContainment *containment,
                               const HsCrashEvidence *crash,
                               HsTime now);

/** A job of the customer has ended well. */
void hs_containment_job_done (HsContainment *containment, uint32_t customer);

/** Releases customers that are due. @return when to call it next */
HsTime hs_containment_tick (HsContainment *containment, HsTime now);

bool hs_containment_is_contained (const HsContainment *containment,
                                  uint32_t customer);

/** Whether any customer of the service is contained. */
bool hs_containment_is_active (const HsContainment *containment,
                               const char *service);

/** The least time until the customer may be released. */
HsTime hs_containment_time_left (const HsContainment *containment,
                                 uint32_t customer,
                                 HsTime now);

/** Takes the next change, for logs. @return false if there is none */
bool hs_containment_next_change (HsContainment *containment,
                                 HsContainmentChange *change);

#endif
