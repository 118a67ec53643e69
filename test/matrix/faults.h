/**
 * @file
 * Rows and columns of the matrix: the steps at which a fault may strike and
 * what strikes there.
 */
#ifndef HS_MATRIX_FAULTS_H
#define HS_MATRIX_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include "rpc/conn.h"
#include "sim.h"

/** Faults strike only after this. */
#define FAULTS_WARM_UP (2 * HS_SEC)

/** Rows. */
typedef enum
{
  STEP_ACCEPT,
  STEP_FORWARD,
  STEP_CLAIM,
  STEP_QUEUE,
  STEP_START_SENT,
  STEP_START_GATED,
  STEP_TARGET_CALLED,
  STEP_RESULT,
  STEP_ANSWER,
  STEP_ANNOUNCE,
  STEP_LEAVE,
  STEP_RENEWAL,
  STEP_TAKEOVER,
  STEP_RECOVER,
  STEP_SETTLE,
  STEP_BORROW,
  STEP_HANDOVER,
  STEP_PROMISE,
  STEP_EDIT,
  STEP_WATCH,
  STEP_COUNT,
  STEP_MIXED = STEP_COUNT /**< A row besides: several steps that are drawn. */
} Step;

/** Faults of a run of STEP_MIXED. */
#define FAULTS_PER_MIXED_RUN 3

/** Columns. */
typedef enum
{
  FAULT_NONE,
  FAULT_KILL_BEFORE,
  FAULT_KILL_AFTER,
  FAULT_HOST_LOST,
  FAULT_KILL_PEER,
  FAULT_LOST,
  FAULT_DELAYED,
  FAULT_DUPLICATED,
  FAULT_REORDERED,
  FAULT_CROSSED,
  FAULT_STORE_DOWN,
  FAULT_STORE_SLOW,
  FAULT_STORE_ANSWER_LOST,
  FAULT_STORE_STALE,
  FAULT_PAUSE,
  FAULT_PAUSE_PEER,
  FAULT_OPERATORS,
  FAULT_TARGET_FAILING,
  FAULT_TARGET_STRAGGLING,
  FAULT_TARGET_LYING,
  FAULT_TWICE,
  FAULT_TWO,
  FAULT_COUNT
} Fault;

/** Where a step is about to happen, or has. */
typedef struct
{
  Step step;
  bool after;
  Proc *actor;
  Proc *peer;   /**< NULL: none, or the store. */
  HsConn *conn; /**< NULL: none. */
} FaultPoint;

const char *step_name (Step step);
const char *fault_name (Fault fault);
const char *fault_short_name (Fault fault);

/** Why a cell can't occur; NULL if it can. */
const char *fault_exclusion_reason (Step step, Fault fault);

/** Arms the fault of a cell. */
void faults_begin (Step step, Fault fault, bool at_first);

/** Arms faults that are drawn, each at a step that is drawn. */
void faults_begin_mixed (bool at_first);

/** What is armed, by number; false if there is no such. */
bool faults_get_armed (uint32_t i, Step *step, Fault *fault);

/** Breaks the connection that carries the next START, with the START or a
 *  little after it has arrived. */
void faults_break_next_start (void);

/** How often the fault struck. */
uint32_t faults_injected_count (void);

/** Whether the run has no fault, only what operators plan. */
bool faults_is_fault_free (void);

/** What is at the other end of a step's message: the store, or a caller. */
bool step_calls_store (Step step);
bool step_faces_caller (Step step);

/** Lets a fault happen here and now. */
void fault_inject (Fault fault, const FaultPoint *point);

/** Told by the fakes at each step; may kill the actor. */
void fault_point_reached (const FaultPoint *point);

/** Begins a step; false if the actor died, so that it must not happen. */
bool fault_before (Step step, Proc *actor, Proc *peer, HsConn *conn);
void fault_after (Step step, Proc *actor, Proc *peer, HsConn *conn);

#endif
