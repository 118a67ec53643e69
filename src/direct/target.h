/**
 * @file
 * What an agent asks of its target and hears from it, whatever protocol the
 * target speaks.
 */
#ifndef HS_DIRECT_TARGET_H
#define HS_DIRECT_TARGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"
#include "proto/hspoke.h"

/** One start of one task. */
typedef struct
{
  char job[HSX_ID_MAX + 1];
  uint32_t step;
  uint32_t index;
  uint32_t attempt; /**< From 1; a later start of the task has a higher one. */
} HsRunKey;

/** How a call to the target ended. */
typedef enum
{
  HS_TARGET_OK,
  HS_TARGET_FENCED,        /**< Not done: a higher token was seen. */
  HS_TARGET_OUTDATED,      /**< Not done: this or a later attempt was there. */
  HS_TARGET_LEASE_EXPIRED, /**< Not done: the lease in it has passed. */
  HS_TARGET_FULL,          /**< Not done: the target has no room. */
  HS_TARGET_UNHEALTHY,     /**< Not done: the target refuses work for now. */
  HS_TARGET_REPLACED,      /**< Not done: another incarnation listens there. */
  HS_TARGET_INVALID,       /**< Not done: the target rejects the request. */
  HS_TARGET_UNSENT,        /**< Not done: nothing was sent. */
  HS_TARGET_UNANSWERED     /**< May have been done, or may be done later. */
} HsTargetResult;

/** A word for logs. */
const char *hs_target_result_name (HsTargetResult result);

/** An order to start a task. */
typedef struct
{
  HsRunKey key;
  const char *spec;
  size_t spec_len;
  uint64_t token;         /**< Fences orders with lower ones. */
  int64_t lease_until_ms; /**< On the target's clock. */
} HsTargetStart;

/** A request for the list of runs; it also renews the lease of all runs. */
typedef struct
{
  uint64_t token;
  uint64_t acked;         /**< Ends up to this number may be forgotten. */
  int64_t lease_until_ms; /**< On the target's clock, if it renews. */
  uint32_t number;        /**< Of the request; later ones are higher. */
  uint32_t wait_ms;       /**< The answer may wait so long for an end. */
  uint32_t timeout_ms;    /**< Given up after this. */
  bool renews_lease;
} HsTargetPoll;

typedef struct
{
  HsRunKey key;
  int percent; /**< Work done, 0 to 100; -1: not told. */
} HsListedRun;

typedef struct
{
  uint64_t number; /**< Counts the ends of one incarnation, from 1. */
  HsRunKey key;
  hsx_end_how how;
} HsListedEnd;

/** The target's answer to a look. */
typedef struct
{
  int64_t clock_ms;
  int64_t started_ms; /**< Start of the incarnation; 0: not told. */
  HsListedRun *running;
  size_t n_running;
  size_t n_unreadable; /**< Rows of `running` that name no run. */
  HsListedEnd *ends;
  size_t n_ends;
} HsTargetList;

/** What a target says of itself. */
typedef struct
{
  char name[HSX_NAME_MAX + 1];
  char service[HSX_NAME_MAX + 1];
  char address[HSX_ADDRESS_MAX + 1];
  char rack[HSX_NAME_MAX + 1];
  bool leaving;
  int64_t started_ms; /**< 0: not told. */
  uint64_t sequence;
  hsx_room capacity;
} HsAnnouncement;

#endif
