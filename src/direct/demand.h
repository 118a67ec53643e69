/**
 * @file
 * What each customer asks for, learnt from its jobs: how many a second, how
 * much work each is, how far estimates are off, how many are served in time.
 *
 * Load pattern: a handful of customers whose jobs differ a hundredfold in work
 * and rate, with estimates wrong by 40%. Every customer's demand counts the
 * same as a whole, so that one job of a rare customer is worth more.
 */
#ifndef HS_DIRECT_DEMAND_H
#define HS_DIRECT_DEMAND_H

#include <stdbool.h>

#include <talloc.h>

#include "base/time.h"

typedef struct HsDemand HsDemand;

HsDemand *hs_demand_new (TALLOC_CTX *ctx);

/** The handle of a customer, made at its first use. */
uint32_t hs_demand_customer_handle (HsDemand *demand, const char *name);

/** Notes a job that arrives. @param work estimated core-seconds */
void hs_demand_job_arrived (HsDemand *demand,
                            uint32_t customer,
                            double work,
                            HsTime now);

/** Notes a task's run time. @param estimate 0: none was given */
void hs_demand_add_run_time (HsDemand *demand,
                             uint32_t customer,
                             HsTime estimate,
                             HsTime run);

/** Notes how a job ended. */
void hs_demand_job_ended (HsDemand *demand,
                          uint32_t customer,
                          double work,
                          bool served);

/** Expected run time of a task. */
HsTime hs_demand_expected_run_time (const HsDemand *demand,
                                    uint32_t customer,
                                    HsTime estimate);

/** Whether enough runs were seen for hs_demand_expected_run_time() to be relied
 * on. */
bool hs_demand_run_time_is_known (const HsDemand *demand, uint32_t customer);

/** What serving a job in time is worth, against a mean job of a mean
 *  customer. @param work its core-seconds */
double
hs_demand_job_value (const HsDemand *demand, uint32_t customer, double work);

/** Factor on a job's rank that keeps every customer, and the large jobs of
 *  each, served at a least share. */
double hs_demand_priority_boost (const HsDemand *demand,
                                 uint32_t customer,
                                 double work);

#endif
