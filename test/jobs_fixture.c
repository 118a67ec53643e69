#include "jobs_fixture.h"

#include <stdio.h>
#include <string.h>

HsTargets *targets;
HsJobs *jobs;
Launch launches[512];
uint32_t n_launches;
HsJobAnswer answers[64];
uint32_t n_answers;
uint32_t orders_sent[16];

static void *ctx;

static uint32_t
on_launch (void *arg,
           uint32_t target,
           const hsx_launch *job,
           const hsx_launch_task *task)
{
  Launch *launch = &launches[n_launches++];

  (void) arg;
  launch->target = target;
  launch->stopped = false;
  launch->task = *task;
  snprintf (launch->customer, sizeof launch->customer, "%s", job->customer);
  return ++orders_sent[target];
}

static void
on_stop (void *arg, uint32_t target, uint64_t ref)
{
  uint32_t i;

  (void) arg;
  for (i = 0; i < n_launches; i++)
    if (launches[i].target == target && launches[i].task.ref == ref)
      launches[i].stopped = true;
}

static void
on_answer (void *arg, const HsJobAnswer *answer)
{
  (void) arg;
  answers[n_answers++] = *answer;
}

static void
on_task_ended (void *arg,
               const char *id,
               uint32_t target,
               const HsTask *task,
               const hsx_end *end)
{
  (void) arg;
  (void) id;
  (void) target;
  (void) task;
  (void) end;
}

static void
on_task_not_held (void *arg,
                  const char *id,
                  uint32_t target,
                  const HsTask *task)
{
  (void) arg;
  (void) id;
  (void) target;
  (void) task;
}

static void
on_contained (void *arg, const HsContainmentChange *change)
{
  (void) arg;
  (void) change;
}

static const HsJobsEffects EFFECTS
    = { on_launch,     on_stop,          on_answer,
        on_task_ended, on_task_not_held, on_contained };

void
jobs_fixture_set_up (void)
{
  n_launches = n_answers = 0;
  memset (orders_sent, 0, sizeof orders_sent);
  ctx = talloc_new (NULL);
  targets = hs_targets_new (ctx);
  jobs = hs_jobs_new (ctx, targets, "dc1", &EFFECTS, NULL);
}

void
jobs_fixture_tear_down (void)
{
  talloc_free (ctx);
}
