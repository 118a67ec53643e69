/**
 * @file
 * Submits the planned jobs as a client would: after a lost request or a refusal
 * it submits the same id again, to another entry, after a backoff.
 */
#ifndef LOAD_CLIENT_H
#define LOAD_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <tevent.h>

#include "answer.h"
#include "balancer.h"
#include "scenario.h"

#define CLIENT_ID_SIZE 64

/** An attempt that was lost or refused. */
typedef struct
{
  HsTime sent_at;
  HsTime ended_at;
  uint32_t entry;
  char kind[ANSWER_KIND_SIZE]; /**< "connect", "broken", "timeout", or the kind
                                  of the refusal. */
  bool not_run;
  bool alone; /**< No other request for the job was open during the attempt. */
} ClientFailedAttempt;

typedef struct ClientJob ClientJob;

/** A request with its retries. */
typedef struct
{
  ClientJob *job;
  uint32_t entry;
  uint32_t attempts;
  bool is_open; /**< An attempt is sent and not answered. */
  bool alone;
  HsTime sent_at;
  HsTime answered_at; /**< 0: not answered. */
  Answer *answer;     /**< The final answer; NULL if there is none. */
  GString *response;
  struct curl_slist *headers;
} ClientRequest;

struct ClientJob
{
  struct ClientRun *run;
  const PlannedJob *plan;
  HsTime arrived_at; /**< Monotonic time; 0: not arrived yet. */
  char id[CLIENT_ID_SIZE];
  char *body; /**< Request body; NULL once all requests have ended. */
  ClientRequest requests[2]; /**< The first one, and the resubmission. */
  uint32_t n_requests;
  uint32_t n_ended_requests;
  GArray
      *events; /**< Of ClientFailedAttempt, in the order in which they ended. */
};

typedef struct ClientRun
{
  const Scenario *scenario;
  struct tevent_context *ev;
  struct HsCurl *curl;
  ClientJob *jobs;
  size_t n_jobs;
  size_t next_job;    /**< Index of the job that arrives next. */
  uint64_t n_pending; /**< Requests that have not ended, and resubmissions and
                         cancellations that are planned or not ended. */
  Balancer *balancer;
  HsTime started_at;
} ClientRun;

/** Returns the name and the key of a customer; free both with g_free(). */
void client_split_customer (const Scenario *scenario,
                            uint32_t customer,
                            char **name,
                            char **key);

/**
 * Submits the jobs of a scenario. Returns when all requests have ended.
 * @return talloc child of @p ctx
 */
ClientRun *client_run (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       const Scenario *scenario);

#endif
