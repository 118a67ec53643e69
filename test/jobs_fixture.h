/**
 * @file
 * Test fixture: the direct jobs of one entry, whose effects are recorded.
 */
#ifndef HS_TEST_JOBS_FIXTURE_H
#define HS_TEST_JOBS_FIXTURE_H

#include "direct/jobs.h"

#define T0 (1000 * HS_SEC)
#define CAPACITY 4000

/** A start that the entry sent. */
typedef struct
{
  hsx_launch_task task;
  uint32_t target;
  char customer[8];
  bool stopped;
} Launch;

extern HsTargets *targets;
extern HsJobs *jobs;
extern Launch launches[512];
extern uint32_t n_launches;
extern HsJobAnswer answers[64];
extern uint32_t n_answers;
extern uint32_t orders_sent[16]; /**< Launches by target. */

/** Entry in data centre dc1 without targets and jobs. */
void jobs_fixture_set_up (void);
void jobs_fixture_tear_down (void);

#endif
