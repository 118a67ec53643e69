/**
 * @file
 * One call of a target: POST /run over a persistent connection. The request
 * is sent at most once, and an answer is accepted only if it names the task.
 */
#ifndef HS_AGENT_TARGET_CALL_H
#define HS_AGENT_TARGET_CALL_H

#include <talloc.h>

#include "http/curl_loop.h"
#include "agent/start_log.h"
#include "proto/hspoke.h"

typedef struct HsTargetCall HsTargetCall;

/** How a call ended. */
typedef enum
{
  HS_TARGET_CALL_ANSWERED,   /**< A complete answer that names the task. */
  HS_TARGET_CALL_UNSENT,     /**< Request not sent; the task did not start. */
  HS_TARGET_CALL_TIMEOUT,    /**< No complete answer in time. */
  HS_TARGET_CALL_WRONG_TASK, /**< The answer named another task, or none. */
  HS_TARGET_CALL_BROKEN      /**< Answer truncated, malformed or too large. */
} HsTargetCallEnd;

/**
 * Reports the end of a call, which is freed after the callback; an answer
 * that comes later is discarded.
 * @param completion its outcome is HSX_REFUSED for HS_TARGET_CALL_UNSENT; its
 *        body is valid during the callback
 */
typedef void (*HsTargetCallDone) (void *arg,
                                  HsTargetCallEnd end,
                                  const HsTaskCompletion *completion);

/**
 * Calls a target. talloc_free() of the call aborts it without calling
 * @p done.
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
