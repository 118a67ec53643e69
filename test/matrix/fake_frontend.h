/**
 * @file
 * Fake of the entry's HTTP front end: carries callers' requests to an entry
 * and its answers back, in simulated time.
 */
#ifndef HS_MATRIX_FAKE_FRONTEND_H
#define HS_MATRIX_FAKE_FRONTEND_H

#include "entry/frontend.h"
#include "callers.h"

/** A request that a caller sent. */
typedef struct
{
  uint32_t job;     /**< Index of the job. */
  uint32_t variant; /**< 0: the job's content; otherwise a conflicting one. */
  Proc *entry;
  hsx_forward_args *args;
  HsTime sent_at;
  HsTime answered_at; /**< When the entry wrote the answer. */
  hsx_answer *answer;
  bool finished;             /**< The caller no longer waits for the answer. */
  HsJobRequest *job_request; /**< Held by the entry; NULL: none. */
} Request;

/** Resets the front ends for a run. */
void frontend_begin (void);

/** Sends a request. request_answered() or request_broken() is called later. */
void frontend_send (Request *request);

/** @name callers.c @{ */
void request_answered (Request *request);
void request_broken (Request *request);
/** @} */

#endif
