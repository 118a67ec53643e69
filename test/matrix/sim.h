/**
 * @file
 * Fake time for whole processes: one queue of events, run in the order of
 * time, and stand-ins for the few functions of tevent that the entry and the
 * agent use. The matrix links them in place of the real ones, so that the
 * processes' own code runs unchanged.
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

/** What a tevent loop is here: the process whose events it runs. */
struct tevent_context
{
  Proc *proc;
  tevent_fd_handler_t wake; /**< Of the one descriptor that is watched. */
  void *wake_arg;
};

/** Starts a world at time 0 with a seed; frees the one before. */
void sim_begin (uint64_t seed, bool trace);

/** Frees what the world still holds. */
void sim_end (void);

/** The present time of the world. */
HsTime sim_now (void);

/** The process whose event runs; NULL: the world. */
Proc *sim_current (void);

/** Uniform below @p n, from the world's seed. */
uint32_t sim_random (uint32_t n);

/** Uniform in [low, high]. */
HsTime sim_random_time (HsTime low, HsTime high);

/** A talloc context that lives as long as the world. */
TALLOC_CTX *sim_memory (void);

/**
 * Schedules a call. Events at the same time run in the order of scheduling.
 * @param proc whose event it is: it waits while the process is paused and is
 *        dropped when it ends; NULL: the world's
 * @param arg if @p owned, a talloc object that the event frees after it ran
 */
SimEvent *
sim_schedule (HsTime at, Proc *proc, SimFunc func, void *arg, bool owned);
void sim_cancel (SimEvent *event);

/** Runs all events up to a time. */
void sim_run (HsTime until);

/** Writes a line of the trace if it is on. */
void sim_trace (const char *format, ...) G_GNUC_PRINTF (1, 2);

/** Counts events run, for the report. */
uint64_t sim_event_count (void);

#endif
