/**
 * @file
 * Discrete-event simulation of whole processes: one queue of events in the
 * order of simulated time, and replacements of the few tevent functions that
 * the entry and the agent use. The matrix is linked with them instead of the
 * real ones, so that the code of the processes runs unchanged.
 */
#ifndef HS_MATRIX_SIM_H
#define HS_MATRIX_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "base/time.h"

typedef struct Proc Proc;
typedef struct SimEvent SimEvent;
typedef void (*SimFunc) (void *arg);

/** A simulated tevent loop: the process whose events it runs. */
struct tevent_context
{
  Proc *proc;
  tevent_fd_handler_t
      wake; /**< Handler of the only descriptor that is watched. */
  void *wake_arg;
};

/** Starts a simulation at time 0 with a seed.
 *  @param trace whether sim_trace() prints */
void sim_begin (uint64_t seed, bool trace);

/** Frees everything that the simulation still holds. */
void sim_end (void);

/** The present simulated time. */
HsTime sim_now (void);

/** The process whose event runs; NULL: the event belongs to no process. */
Proc *sim_current (void);

/** A uniform random number below @p n, from the simulation's seed. */
uint32_t sim_random (uint32_t n);

/** A uniform random time in [@p low, @p high]. */
HsTime sim_random_time (HsTime low, HsTime high);

/** A talloc context that lives as long as the simulation. */
TALLOC_CTX *sim_memory (void);

/**
 * Schedules a call. Events at the same time run in the order of scheduling.
 * @param proc owner of the event, which waits while the process is paused and
 *        is dropped when it dies; NULL: no process
 * @param arg passed to @p func
 * @param owned whether @p arg is a talloc object that is freed with the event
 */
SimEvent *
sim_schedule (HsTime at, Proc *proc, SimFunc func, void *arg, bool owned);
/** Cancels an event; its function will not be called. */
void sim_cancel (SimEvent *event);

/** Runs all events up to a time. */
void sim_run (HsTime until);

/** Prints a line of the trace if tracing is on. */
void sim_trace (const char *format, ...) G_GNUC_PRINTF (1, 2);

/** Number of events that have run. */
uint64_t sim_event_count (void);

#endif
