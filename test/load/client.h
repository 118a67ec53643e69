/**
 * @file
 * Submits the planned jobs as a client would: on a lost or refused request
 * it sends the same id again, to another entry, after a backoff.
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

/** An attempt that brought no final answer, or a final refusal. */
typedef struct
{
  HsTime sent_at;
  HsTime ended_at;
  uint32_t entry;
  char kind[ANSWER_KIND_SIZE]; /**< "connect", "broken", "timeout", or that of
                                    the refusal. */
  bool not_run;
  bool alone; /**< No other request for the job was open meanwhile. */
} ClientFailedAttempt;

typedef struct ClientJob ClientJob;

/** One request with its retries. */
typedef struct
{
  ClientJob *job;
  uint32_t entry;
  uint32_t attempts;
  bool is_open; /**< Sent, not answered. */
  bool alone;
  HsTime sent_at;
  HsTime answered_at; /**< 0: never. */
  Answer *answer;     /**< The final one, or NULL. */
  GString *response;
  struct curl_slist *headers;
} ClientRequest;

struct ClientJob
{
  struct ClientRun *run;
  const PlannedJob *plan;
  HsTime arrived_at; /**< Monotonic; 0: not yet. */
  char id[CLIENT_ID_SIZE];
  char *body;                /**< While a send is left. */
  ClientRequest requests[2]; /**< The first, and the resubmission. */
  uint32_t n_requests;
  uint32_t n_ended_requests;
  GArray *events; /**< Of LoadEvent. */
};

typedef struct ClientRun
{
  const Scenario *scenario;
  struct tevent_context *ev;
  struct HsCurl *curl;
  ClientJob *jobs;
  size_t n_jobs;
  size_t next_job;    /**< The job that arrives next. */
  uint64_t n_pending; /**< Sends that have not ended, and cancellations. */
  Balancer *balancer;
  HsTime started_at;
} ClientRun;

/** The customer's name and its key. Free both. */
void client_split_customer (const Scenario *scenario,
                            uint32_t customer,
                            char **name,
                            char **key);

/**
 * Runs a scenario until every job has ended.
 * @return talloc child of @p ctx
 */
ClientRun *client_run (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       const Scenario *scenario);

#endif
