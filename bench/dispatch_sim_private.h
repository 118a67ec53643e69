/**
 * @file
 * State of the dispatch simulation, shared by its entries and targets.
 */
#ifndef HS_BENCH_DISPATCH_SIM_PRIVATE_H
#define HS_BENCH_DISPATCH_SIM_PRIVATE_H

#include "agent/slots.h"
#include "event_queue.h"
#include "dispatch_sim.h"
#include "policy/credits.h"
#include "policy/health.h"
#include "policy/loans.h"

/** Remaining time of the lease of an entry, constant in the simulation. */
#define BENCH_LEASE_LEFT (3 * HS_SEC)
#define BENCH_REFRESH_PERIOD HS_SLOTS_REFRESH_AGE_MAX
#define BENCH_FAULTY_TARGET 0

typedef struct
{
  bool busy;
  uint32_t holder; /* Entry that is granted the slot while it is free. */
  uint32_t generation;
  HsTime last_change; /* Start or end of its last task. */
} SimSlot;

typedef struct
{
  SimSlot slots[BENCH_SLOTS];
  HsTime last_grants[BENCH_ENTRIES]; /* Time of the last GRANT to each entry. */
  bool loan_notice_scheduled[BENCH_ENTRIES]; /* By entry: EVENT_LOAN_NOTICE is
                                                scheduled. */
  uint32_t
      *queue; /* Ring buffer of the tasks that wait at this target. Not used by
                 the rule CREDITS, under which tasks wait at the entries. */
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
  uint32_t outstanding[BENCH_TARGETS]; /* Tasks sent that have not ended. */
  HsTime wake_up_at; /* Time of EVENT_WAKE_UP; HS_NEVER if none. */
} SimEntry;

typedef struct
{
  const BenchWorkload *workload;
  const BenchSimConfig *config;
  BenchSimResult *result;
  BenchEventQueue events;
  HsTime now;
  uint32_t n_entries;
  uint32_t n_tasks_left; /* Tasks of all jobs that have not ended. */
  SimEntry entries[BENCH_ENTRIES];
  SimTarget targets[BENCH_TARGETS];
  uint32_t *tasks_left;      /* By job: tasks that have not ended. */
  HsTime *charged_run_times; /* By task: run time charged to the customer. */
  hsx_credit *credits;       /* By task: the credit used for its start. */
} Sim;

/** Schedules an event @p delay from now. */
void bench_sim_schedule (Sim *sim, HsTime delay, const BenchEvent *event);

/** Returns the entry that owns the customer of a task. */
uint32_t bench_sim_owner (const Sim *sim, uint32_t task);

/** Handles the arrival of a job at its entry. */
void bench_sim_entry_submit (Sim *sim, uint32_t job);

/**
 * Runs one iteration of the event loop of an entry: answers and sends BORROW
 * requests and starts the tasks that can be started.
 */
void bench_sim_entry_dispatch (Sim *sim, uint32_t entry);

/** Handles a result, or the refusal of a start. */
void bench_sim_entry_result (Sim *sim, const BenchEvent *event);

/** Handles the reply of a peer to a BORROW request. */
void bench_sim_entry_borrow_reply (Sim *sim, BenchEvent *event);

/** Handles a start at its target. */
void bench_sim_target_start (Sim *sim, const BenchEvent *event);

/** Returns whether a task that ends now on this target fails. */
bool bench_sim_task_fails (const Sim *sim, uint32_t task, uint32_t target);

/** Handles the end of a task and sends its result. */
void bench_sim_target_task_end (Sim *sim, const BenchEvent *event);

/**
 * Repeats GRANT to the entries whose slots at this target have been idle for
 * BENCH_REFRESH_PERIOD.
 */
void bench_sim_target_refresh (Sim *sim, uint32_t target);

/** Notifies an entry, by GRANT, that credits it lent were used. */
void bench_sim_target_loan_notice (Sim *sim, uint32_t target, uint32_t entry);

/** Sends the free slots of a target that an entry holds, by GRANT. */
void bench_sim_target_grant (Sim *sim, uint32_t target, uint32_t entry);

#endif
