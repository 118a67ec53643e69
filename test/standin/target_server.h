/**
 * @file
 * A target for tests: runs tasks as timers, announces itself to its agent
 * and leaves. Faults can be asked for all tasks or by a task's body.
 *
 * A task's body is a list as "sleep=120;fail=0;straggle=3;size=100;nonce=abc":
 * run time in ms, whether it fails, a factor on the run time, the length of
 * the answer, a text that the answer repeats, and `fault`, one of the words
 * below. Unknown words are ignored.
 */
#ifndef STANDIN_TARGET_SERVER_H
#define STANDIN_TARGET_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

typedef struct Target Target;

/** What goes wrong with a task. */
typedef enum
{
  FAULT_NONE,
  FAULT_FAIL,    /**< "fail": status 500 at once. */
  FAULT_SLOW,    /**< "slow": ten times the run time. */
  FAULT_FOREIGN, /**< "foreign": the answer names another task. */
  FAULT_CUT,     /**< "cut": the answer ends midway. */
  FAULT_TWICE    /**< "twice": a second answer follows the first. */
} TargetFault;

typedef struct
{
  const char *listen; /**< "IP:port"; port 0 takes a free one. */
  const char *agent;  /**< "IP:port" of the agent's local HTTP. */
  const char *key;    /**< Cluster key. */
  uint32_t slots;
  uint32_t memory_mb;
  uint32_t ttl_ms;
  const char *record; /**< File that gets a line a start and end; or NULL. */
  double fail_rate;
  double straggle_rate;
  uint32_t seed;
  TargetFault fault; /**< Of every task. */
} TargetOptions;

/** Starts a target and announces it. Strings must outlive it. */
Target *target_new (TALLOC_CTX *ctx,
                    struct tevent_context *ev,
                    const TargetOptions *options,
                    GError **error);

/** Reads a fault's word; false if there is none such. */
bool target_fault_parse (const char *name, TargetFault *fault);

/** Begins to leave: no renewals; DELETE to the agent. */
void target_leave (Target *target);

/** True once the agent has answered that nothing runs any more. */
bool target_has_left (const Target *target);

uint16_t target_port (const Target *target);

/** Tasks started, and tasks that run now. */
uint64_t target_starts (const Target *target);
uint32_t target_running (const Target *target);

#endif
