/**
 * @file
 * Statistics of each customer's jobs: how many arrive a second, how much work
 * each is, how far declared run times are off, and which share is served
 * in time.
 *
 * Load pattern: a handful of customers whose jobs differ a hundredfold in work
 * and rate, with declared run times that are off by 40%. All customers have the
 * same weight in total, so that a single job of a customer with few jobs has a
 * higher value.
 */
#ifndef HS_DIRECT_DEMAND_H
#define HS_DIRECT_DEMAND_H

#include <stdbool.h>

#include <talloc.h>

#include "base/time.h"

typedef struct HsDemand HsDemand;

HsDemand *hs_demand_new (TALLOC_CTX *ctx);

/** The handle of a customer; created at its first use. */
uint32_t hs_demand_customer_handle (HsDemand *demand, const char *name);

/** Records the arrival of a job. @param work estimated core-seconds */
void hs_demand_job_arrived (HsDemand *demand,
                            uint32_t customer,
                            double work,
                            HsTime now);

/** Records the run time of a task. @param declared 0 if none was given */
void hs_demand_add_run_time (HsDemand *demand,
                             uint32_t customer,
                             HsTime declared,
                             HsTime run);

/**
 * Records the end of a job.
 * @param work its core-seconds
 * @param served whether it was completed within its objective
 */
void hs_demand_job_ended (HsDemand *demand,
                          uint32_t customer,
                          double work,
                          bool served);

/** Expected run time of a task. @param declared 0 if none was given */
HsTime hs_demand_expected_run_time (const HsDemand *demand,
                                    uint32_t customer,
                                    HsTime declared);

/** Standard deviation of a customer's run times, as a share of the expected
 *  one. */
double hs_demand_run_time_spread (const HsDemand *demand, uint32_t customer);

/** Whether hs_demand_expected_run_time() rests on enough runs to be relied
 *  on. */
bool hs_demand_run_time_is_known (const HsDemand *demand, uint32_t customer);

/**
 * The value of serving a job in time: its size relative to its customer's mean
 * job, weighted (see VALUE_FLAT_SHARE), times the job rate of this entry over
 * the customer's job rate. All customers thus have about the same value a
 * second; with N customers of equal rates, a mean job has the value N.
 * @param work its core-seconds
 */
double
hs_demand_job_value (const HsDemand *demand, uint32_t customer, double work);

/**
 * Factor on a job's rank that gives every customer, and the large jobs of
 * each customer, a minimum share of jobs served in time.
 * @param work core-seconds of the job
 */
double hs_demand_priority_boost (const HsDemand *demand,
                                 uint32_t customer,
                                 double work);

#endif
