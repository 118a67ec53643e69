/**
 * @file
 * A target for tests. It runs tasks as timers, announces itself to its agent
 * and leaves. Faults are set for all tasks or in the body of a task.
 *
 * The body of a task is a list such as
 * "sleep=120;fail=0;straggle=3;size=100;nonce=abc": run time in ms, whether the
 * task fails, a factor on the run time (replaced by ten by the fault
 * "slow" and by straggle_rate), the minimum length of the answer, a text that
 * the answer repeats, and `fault`, one of the names below. Unknown fields are
 * ignored.
 */
#ifndef STANDIN_TARGET_SERVER_H
#define STANDIN_TARGET_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

typedef struct Target Target;

/** Faults of a task, with their names. */
typedef enum
{
  FAULT_NONE,
  FAULT_FAIL,    /**< "fail": status 500; without running if it is set for
                       all tasks. */
  FAULT_SLOW,    /**< "slow": ten times the run time. */
  FAULT_FOREIGN, /**< "foreign": the answer names another task. */
  FAULT_CUT,     /**< "cut": the answer is truncated. */
  FAULT_TWICE    /**< "twice": a second answer follows the first. */
} TargetFault;

typedef struct
{
  const char *listen; /**< "IP:port"; port 0 takes a free one. */
  const char *agent;  /**< "IP:port" of the agent's local HTTP. */
  const char *key;    /**< Cluster key. */
  uint32_t slots;
  uint32_t memory_mb;
  uint32_t ttl_ms;      /**< Lifetime of an announcement, milliseconds. */
  const char *record;   /**< File to which a line is appended for each start and
                             end of a task; or NULL. */
  double fail_rate;     /**< Fraction of tasks that fail, 0 to 1. */
  double straggle_rate; /**< Fraction of tasks that take ten times their run
                             time, 0 to 1. */
  uint32_t seed;        /**< Seed of the random choices. */
  TargetFault fault;    /**< Fault of every task. */
} TargetOptions;

/** Starts a target and announces it. The strings in @p options must outlive
 *  it. */
Target *target_new (TALLOC_CTX *ctx,
                    struct tevent_context *ev,
                    const TargetOptions *options,
                    GError **error);

/** Parses the name of a fault; false if it is unknown. */
bool target_fault_parse (const char *name, TargetFault *fault);

/** Starts to leave: stops renewing and sends DELETE to the agent. */
void target_leave (Target *target);

/** Returns true once the agent has confirmed that no task is running. */
bool target_has_left (const Target *target);

uint16_t target_port (const Target *target);

/** Return the number of tasks started so far, and of those running now. */
uint64_t target_starts (const Target *target);
uint32_t target_running (const Target *target);

#endif
