/**
 * @file
 * One call of a target: POST /run on a connection that is kept. The request
 * is sent at most once, and the answer counts only if it names the task.
 */
#ifndef HS_AGENT_TARGET_CALL_H
#define HS_AGENT_TARGET_CALL_H

#include <talloc.h>

#include "http/curl_loop.h"
#include "agent/start_log.h"
#include "proto/hspoke.h"

typedef struct HsTargetCall HsTargetCall;

/** Why a call has no whole answer. */
typedef enum
{
  HS_TARGET_CALL_ANSWERED,
  HS_TARGET_CALL_UNSENT,  /**< Nothing was sent; the task has not started. */
  HS_TARGET_CALL_TIMEOUT, /**< No whole answer in time; a later one is dropped.
                           */
  HS_TARGET_CALL_FOREIGN, /**< The answer named another task, or none. */
  HS_TARGET_CALL_BROKEN   /**< Cut off, malformed or too large. */
} HsTargetCallEnd;

/**
 * Receives the end of a call; the call is freed after it.
 * @param finish outcome HSX_REFUSED for HS_TARGET_CALL_UNSENT; its body is
 * valid during the callback
 */
typedef void (*HsTargetCallDone) (void *arg,
                                  HsTargetCallEnd end,
                                  const HsTaskCompletion *completion);

/**
 * Calls a target. talloc_free() of the call cuts it without `done`.
 * @param address "IP:port"
 */
HsTargetCall *hs_target_call (TALLOC_CTX *ctx,
                              HsCurl *curl,
                              const char *address,
                              const hsx_start *start,
                              HsTargetCallDone done,
                              void *arg);

/** The value of Hs-Task: CUSTOMER/ID/INDEX, percent-encoded (RFC 3986). */
char *hs_target_task_name (TALLOC_CTX *ctx, const hsx_task_key *key);

#endif
