/**
 * @file
 * State of the fake fleet, shared by its entries and targets.
 */
#ifndef HS_BENCH_FLEET_STATE_H
#define HS_BENCH_FLEET_STATE_H

#include "agent/slots.h"
#include "events.h"
#include "fleet.h"
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
  HsTime idle_since;
} Slot;

typedef struct
{
  Slot slots[BENCH_SLOTS];
  HsTime granted[BENCH_ENTRIES]; /* Last GRANT to each entry. */
  bool notice[BENCH_ENTRIES];    /* One is due, as a loan was used. */
  uint32_t *queue;               /* Tasks that wait here; rules but credits. */
  uint32_t first;
  uint32_t last;
} Target;

typedef struct
{
  HsDispatchRule rule;
  HsFairQueue *queue;
  HsCredits *credits;
  HsLoans *loans;
  HsHealth *health;
  uint32_t outstanding[BENCH_TARGETS];
  HsTime tick_at;
} Entry;

typedef struct
{
  const BenchWorkload *load;
  const BenchRun *run;
  BenchResult *result;
  BenchEvents events;
  HsTime now;
  uint32_t n_entries;
  uint32_t n_left; /* Tasks that have not ended. */
  Entry entries[BENCH_ENTRIES];
  Target targets[BENCH_TARGETS];
  uint32_t *left;      /* By job: tasks that have not ended. */
  HsTime *charged;     /* By task. */
  hsx_credit *granted; /* By task: the credit it was started with. */
} Fleet;

/** Adds an event this much later than now. */
void bench_post (Fleet *f, HsTime delay, const BenchEvent *event);

/** The entry that owns the customer of a task. */
uint32_t bench_entry_of (const Fleet *f, uint32_t task);

/** A job arrives at its entry. */
void bench_entry_job (Fleet *f, uint32_t job);

/** One turn of an entry's loop. */
void bench_entry_turn (Fleet *f, uint32_t entry);

/** A result or a refusal reaches the entry. */
void bench_entry_result (Fleet *f, const BenchEvent *event);

/** A peer has answered a question for credits. */
void bench_entry_answer (Fleet *f, BenchEvent *event);

/** A start reaches its target. */
void bench_target_start (Fleet *f, const BenchEvent *event);

/** Whether a task fails that ends now on this target. */
bool bench_target_fails (const Fleet *f, uint32_t task, uint32_t target);

/** A task has run; its result is sent. */
void bench_target_end (Fleet *f, const BenchEvent *event);

/** Repeats GRANT to entries whose slots here have long been idle. */
void bench_target_refresh (Fleet *f, uint32_t target);

/** Tells an entry that others used credits it had lent. */
void bench_target_notice (Fleet *f, uint32_t target, uint32_t entry);

/** Sends GRANT to one entry. */
void bench_target_grant (Fleet *f, uint32_t target, uint32_t entry);

#endif
