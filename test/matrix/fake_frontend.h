/**
 * @file
 * Requests of callers on their way to an entry and back.
 */
#ifndef HS_MATRIX_FAKE_FRONTEND_H
#define HS_MATRIX_FAKE_FRONTEND_H

#include "entry/frontend.h"
#include "callers.h"

/** One request that a caller sent. */
typedef struct
{
  uint32_t job;
  uint32_t variant; /**< Which content it has. */
  Proc *entry;
  hsx_forward_args *args;
  HsTime sent_at;
  HsTime answered_at; /**< When the entry wrote the answer. */
  hsx_answer *answer;
  bool finished; /**< The caller waits for it no more. */
  HsJobRequest *job_request;
} Request;

void frontend_begin (void);

/** Sends it; request_answered() or request_broken() follows. */
void frontend_send (Request *request);

/** @name callers.c @{ */
void request_answered (Request *request);
void request_broken (Request *request);
/** @} */

#endif
