/**
 * @file
 * The calls that an agent makes to its target, their results, and the target's
 * announcements, independent of the protocol that the target speaks.
 */
#ifndef HS_DIRECT_TARGET_H
#define HS_DIRECT_TARGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"
#include "proto/hspoke.h"

/** Identifies one start of one task. */
typedef struct
{
  char job[HSX_ID_MAX + 1];
  uint32_t step;
  uint32_t index;
  uint32_t attempt; /**< From 1; a later start of the task has a higher one. */
} HsRunKey;

/** Result of a call to the target. */
typedef enum
{
  HS_TARGET_OK,
  HS_TARGET_FENCED,        /**< Not done: the target saw a higher token. */
  HS_TARGET_OUTDATED,      /**< Not done: it saw this or a later attempt. */
  HS_TARGET_LEASE_EXPIRED, /**< Not done: the lease in the call has expired. */
  HS_TARGET_FULL,          /**< Not done: not enough free resources. */
  HS_TARGET_UNHEALTHY,     /**< Not done: the target refuses work for now. */
  HS_TARGET_REPLACED,      /**< Not done: another incarnation listens there. */
  HS_TARGET_INVALID,       /**< Not done: the target rejects the request. */
  HS_TARGET_UNSENT,        /**< Not done: nothing was sent. */
  HS_TARGET_NO_LISTENER,   /**< Not done: no process listens there. */
  HS_TARGET_UNANSWERED     /**< May have been done, or may be done later. */
} HsTargetResult;

/** Name of a result for log lines. */
const char *hs_target_result_name (HsTargetResult result);

/** Request to start a task. */
typedef struct
{
  HsRunKey key;
  const char *spec;
  size_t spec_len;
  uint64_t token;         /**< The target then refuses calls with lower ones. */
  int64_t lease_until_ms; /**< On the target's clock. */
} HsTargetStart;

/** Request for the list of runs, which may also renew the lease of all runs. */
typedef struct
{
  uint64_t token;
  uint64_t acked;         /**< Ends up to this number may be discarded. */
  int64_t lease_until_ms; /**< On the target's clock, if it renews the lease. */
  uint32_t number;        /**< Rises with each request. */
  uint32_t wait_ms;       /**< How long the answer may wait for a run to end. */
  uint32_t timeout_ms;    /**< The call is given up after this. */
  bool renews_lease;
} HsTargetPoll;

typedef struct
{
  HsRunKey key;
  int percent; /**< Progress, 0 to 100; -1: not reported. */
} HsListedRun;

typedef struct
{
  uint64_t number; /**< Counts the ends of one incarnation, from 1. */
  HsRunKey key;
  hsx_end_how how;
} HsListedEnd;

/** The target's answer to a poll. */
typedef struct
{
  int64_t clock_ms;
  int64_t started_ms; /**< Start of the incarnation; 0: not reported. */
  HsListedRun *running;
  size_t n_running;
  size_t n_unreadable; /**< Rows of `running` that identify no run. */
  HsListedEnd *ends;
  size_t n_ends;
  bool ends_incomplete; /**< Ends may be missing from `ends`. */
} HsTargetList;

/** A target's announcement of itself. */
typedef struct
{
  char name[HSX_NAME_MAX + 1];
  char service[HSX_NAME_MAX + 1];
  char address[HSX_ADDRESS_MAX + 1];
  char rack[HSX_NAME_MAX + 1];
  bool leaving;
  int64_t started_ms; /**< Start of the incarnation; 0: not reported. */
  uint64_t sequence;  /**< Rises within an incarnation. */
  hsx_room capacity;
  HsTime warmup_left; /**< Until then its runs are slower than usual. */
} HsAnnouncement;

#endif
