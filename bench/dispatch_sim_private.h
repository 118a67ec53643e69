/**
 * @file
 * State of the fake fleet, shared by its entries and targets.
 */
#ifndef HS_BENCH_DISPATCH_SIM_PRIVATE_H
#define HS_BENCH_DISPATCH_SIM_PRIVATE_H

#include "agent/slots.h"
#include "event_queue.h"
#include "dispatch_sim.h"
#include "policy/credits.h"
#include "policy/health.h"
#include "policy/loans.h"

#define BENCH_LEASE_LEFT (3 * HS_SEC)
#define BENCH_REFRESH_PERIOD HS_SLOTS_REFRESH_AGE_MAX
#define BENCH_FAULTY_TARGET 0

typedef struct
{
  bool busy;
  uint32_t holder;
  uint32_t generation;
  HsTime last_change;
} SimSlot;

typedef struct
{
  SimSlot slots[BENCH_SLOTS];
  HsTime last_grants[BENCH_ENTRIES];         /* Last GRANT to each entry. */
  bool loan_notice_scheduled[BENCH_ENTRIES]; /* One is due, as a loan was used.
                                              */
  uint32_t *queue; /* Tasks that wait here; rules but credits. */
  uint32_t queue_head;
  uint32_t queue_tail;
} SimTarget;

typedef struct
{
  HsDispatchRule rule;
  HsFairQueue *queue;
  HsCredits *credits;
  HsLoans *loans;
  HsHealth *health;
  uint32_t outstanding[BENCH_TARGETS];
  HsTime wake_up_at;
} SimEntry;

typedef struct
{
  const BenchWorkload *workload;
  const BenchSimConfig *config;
  BenchSimResult *result;
  BenchEventQueue events;
  HsTime now;
  uint32_t n_entries;
  uint32_t n_tasks_left; /* Tasks that have not ended. */
  SimEntry entries[BENCH_ENTRIES];
  SimTarget targets[BENCH_TARGETS];
  uint32_t *tasks_left;      /* By job: tasks that have not ended. */
  HsTime *charged_run_times; /* By task. */
  hsx_credit *credits;       /* By task: the credit it was started with. */
} Sim;

/** Adds an event this much later than now. */
void bench_sim_schedule (Sim *sim, HsTime delay, const BenchEvent *event);

/** The entry that owns the customer of a task. */
uint32_t bench_sim_owner (const Sim *sim, uint32_t task);

/** A job arrives at its entry. */
void bench_sim_entry_submit (Sim *sim, uint32_t job);

/** One turn of an entry's loop. */
void bench_sim_entry_dispatch (Sim *sim, uint32_t entry);

/** A result or a refusal reaches the entry. */
void bench_sim_entry_result (Sim *sim, const BenchEvent *event);

/** A peer has answered a question for credits. */
void bench_sim_entry_borrow_reply (Sim *sim, BenchEvent *event);

/** A start reaches its target. */
void bench_sim_target_start (Sim *sim, const BenchEvent *event);

/** Whether a task fails that ends now on this target. */
bool bench_sim_task_fails (const Sim *sim, uint32_t task, uint32_t target);

/** A task has run; its result is sent. */
void bench_sim_target_task_end (Sim *sim, const BenchEvent *event);

/** Repeats GRANT to entries whose slots here have long been idle. */
void bench_sim_target_refresh (Sim *sim, uint32_t target);

/** Tells an entry that others used credits it had lent. */
void bench_sim_target_loan_notice (Sim *sim, uint32_t target, uint32_t entry);

/** Sends GRANT to one entry. */
void bench_sim_target_grant (Sim *sim, uint32_t target, uint32_t entry);

#endif
