/**
 * @file
 * Calls to the stand-in for a target: carries them out late, and delays or
 * drops their answers, so that calls and answers on different connections
 * overtake each other.
 */
#ifndef HS_STANDIN_PLATFORM_TARGET_CALLS_H
#define HS_STANDIN_PLATFORM_TARGET_CALLS_H

#include "base/time.h"
#include "http.h"

typedef struct HsStandinCalls HsStandinCalls;

/** Carries out a call.
 *  @param request to be answered by hs_standin_calls_answer(); NULL if the call
 *         gets no answer */
typedef void (*HsStandinExecute) (void *arg,
                                  HsStandinRequest *request,
                                  const char *path,
                                  const char *body);

HsStandinCalls *
hs_standin_calls_new (TALLOC_CTX *ctx, HsStandinExecute execute, void *arg);

/** Sets, from a JSON object, the percentages of calls that are carried out
 *  seconds later (`late_percent`) or get no answer (`lost_percent`). */
void hs_standin_calls_set_faults (HsStandinCalls *calls, const char *text);

/** Sets, from a JSON object, what is delayed: `call_percent` of the calls by up
 *  to `call_ms`, `answer_percent` of the answers by up to `answer_ms`;
 *  `withheld_percent` of the answers are never sent, and in place of
 *  `cut_percent` the connection ends. With `lists_only`, answers are dropped
 *  only to starts and delayed only to polls that didn't wait, so that lists
 *  overtake each other but the target stays in use. Each stop is carried out up
 * to `stop_ms` later. `seed` is that of the choices. */
void hs_standin_calls_set_crossing (HsStandinCalls *calls, const char *text);

/** Carries a call out now or later. */
void hs_standin_calls_receive (HsStandinCalls *calls,
                               HsStandinRequest *request,
                               HsTime now);

/** Answers a call now, later or not at all; takes ownership of @p text.
 *  @param waited whether it is the list of a poll that has waited */
void hs_standin_calls_answer (HsStandinCalls *calls,
                              HsStandinRequest *request,
                              bool waited,
                              unsigned int status,
                              char *text,
                              HsTime now);

/** Carries out the calls and sends the answers that are due. */
void hs_standin_calls_advance (HsStandinCalls *calls, HsTime now);

/** The client of @p request has disconnected: its call is still carried out. */
void hs_standin_calls_disconnected (HsStandinCalls *calls,
                                    const HsStandinRequest *request);

#endif
