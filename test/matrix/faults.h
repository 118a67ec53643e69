/**
 * @file
 * Rows and columns of the fault matrix: the steps of the protocol and the
 * faults that are injected at them.
 */
#ifndef HS_MATRIX_FAULTS_H
#define HS_MATRIX_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include "rpc/conn.h"
#include "sim.h"

/** No fault is injected before this time. */
#define FAULTS_WARM_UP (2 * HS_SEC)

/** Steps of the protocol: the rows of the matrix. */
typedef enum
{
  STEP_ACCEPT,  /**< An entry accepts a request. */
  STEP_FORWARD, /**< An entry passes a request to the customer's owner. */
  STEP_CLAIM,   /**< A transaction of an entry on claims in the store. */
  STEP_QUEUE,   /**< Tasks wait at an entry. */
  STEP_START_SENT,
  STEP_START_GATED, /**< An agent receives and checks a START. */
  STEP_TARGET_CALLED,
  STEP_RESULT,
  STEP_ANSWER,   /**< An entry answers a request. */
  STEP_ANNOUNCE, /**< An agent sends its own record to an entry. */
  STEP_LEAVE,    /**< A target leaves its agent. */
  STEP_RENEWAL,  /**< An entry renews its lease. */
  STEP_TAKEOVER,
  STEP_RECOVER, /**< A new owner of partitions asks an agent for its starts. */
  STEP_SETTLE,
  STEP_BORROW, /**< An entry requests credits from another. */
  STEP_HANDOVER,
  STEP_PROMISE, /**< An entry that can't reach the store asks another not to
                   take over its partitions. */
  STEP_EDIT,    /**< An entry writes an edited plan or allowance. */
  STEP_WATCH,   /**< A watch delivers events to an entry. */
  STEP_COUNT,
  STEP_MIXED = STEP_COUNT /**< An additional row: several random steps. */
} Step;

/** Faults per run of STEP_MIXED. */
#define FAULTS_PER_MIXED_RUN 3

/** Faults: the columns of the matrix. */
typedef enum
{
  FAULT_NONE,
  FAULT_KILL_BEFORE, /**< The actor is killed before the step. */
  FAULT_KILL_AFTER,  /**< The actor is killed after the step. */
  FAULT_HOST_LOST,   /**< The actor's host dies. */
  FAULT_KILL_PEER,
  FAULT_LOST, /**< The message is lost. */
  FAULT_DELAYED,
  FAULT_DUPLICATED, /**< A write arrives at the store twice, or callers submit
                       all jobs with a pending request again. */
  FAULT_REORDERED,  /**< Later messages overtake the message. */
  FAULT_CROSSED,    /**< The connection breaks for the sender; the peer still
                       receives the message, later. */
  FAULT_STORE_DOWN, /**< It refuses connections or doesn't answer. */
  FAULT_STORE_SLOW,
  FAULT_STORE_ANSWER_LOST, /**< The write is applied, its answer is lost. */
  FAULT_STORE_STALE,       /**< Watches break; ranges are outdated. */
  FAULT_PAUSE,
  FAULT_PAUSE_PEER,
  FAULT_OPERATORS, /**< Two operators edit a record at once. */
  FAULT_TARGET_FAILING,
  FAULT_TARGET_STRAGGLING,
  FAULT_TARGET_LYING, /**< The target answers for another task. */
  FAULT_TWICE,        /**< One random fault at two occurrences of the step. */
  FAULT_TWO,          /**< Two random faults at two occurrences. */
  FAULT_COUNT
} Fault;

/** A point in a run where a fault can be injected: just before or just after
 *  a step. */
typedef struct
{
  Step step;
  bool after;
  Proc *actor;
  Proc *peer;   /**< NULL: no peer, or the store. */
  HsConn *conn; /**< Carries the step's message; NULL: none. */
} FaultPoint;

const char *step_name (Step step);
const char *fault_name (Fault fault);
/** Two letters that head the fault's column in the printed table. */
const char *fault_short_name (Fault fault);

/** Explains why a fault can't occur at a step; NULL if it can. */
const char *fault_exclusion_reason (Step step, Fault fault);

/**
 * Arms the fault of a cell.
 * @param at_first inject it at the first occurrence of the step; otherwise at
 *        a random one
 */
void faults_begin (Step step, Fault fault, bool at_first);

/** Arms FAULTS_PER_MIXED_RUN random faults, each at a random step. */
void faults_begin_mixed (bool at_first);

/** Gets the step and fault of armed fault number @p i.
 *  @return false if fewer are armed */
bool faults_get_armed (uint32_t i, Step *step, Fault *fault);

/** Breaks the connection that carries the next START, either so that the START
 *  is lost or shortly after it has arrived. */
void faults_break_next_start (void);

/** Number of faults that have been injected in this run. */
uint32_t faults_injected_count (void);

/** Whether the run has neither a fault nor an outage in its scenario, only
 *  planned operations. */
bool faults_is_fault_free (void);

/** Whether a step's message goes to or comes from the store, or a caller. */
bool step_calls_store (Step step);
bool step_faces_caller (Step step);

/** Injects a fault at once. */
void fault_inject (Fault fault, const FaultPoint *point);

/** Injects the faults that are armed for this point. The fakes call it before
 *  and after each step; it may kill the actor. */
void fault_point_reached (const FaultPoint *point);

/** Reaches the point before a step.
 *  @return false if the actor has died and the step must not happen */
bool fault_before (Step step, Proc *actor, Proc *peer, HsConn *conn);
/** Reaches the point after a step. */
void fault_after (Step step, Proc *actor, Proc *peer, HsConn *conn);

#endif
