/**
 * @file
 * How many jobs of each customer start a second on one target. Tells how likely
 * it is that a customer had just started a task by chance when the target
 * crashed.
 */
#ifndef HS_POLICY_START_RATES_H
#define HS_POLICY_START_RATES_H

#include <talloc.h>

#include "base/time.h"

typedef struct HsStartRates HsStartRates;

HsStartRates *hs_start_rates_new (TALLOC_CTX *ctx);

/** Records the start of a task. Consecutive tasks of one job count once, as
 *  they are started together. */
void hs_start_rates_add (HsStartRates *rates,
                         const char *customer,
                         const char *job,
                         HsTime now);

/** Jobs of @p customer that were started a second, lately; 0 if none. */
double hs_start_rates_per_s (const HsStartRates *rates,
                             const char *customer,
                             HsTime now);

#endif
