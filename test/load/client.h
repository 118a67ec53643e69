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

#define LOAD_ID_SIZE 64

/** An attempt that brought no final answer, or a final refusal. */
typedef struct
{
  HsTime sent;
  HsTime ended;
  uint32_t entry;
  char kind[ANSWER_KIND_SIZE]; /**< "connect", "broken", "timeout", or that of
                                    the refusal. */
  bool not_run;
  bool alone; /**< No other request for the job was open meanwhile. */
} LoadEvent;

typedef struct LoadJob LoadJob;

/** One request with its retries. */
typedef struct
{
  LoadJob *job;
  uint32_t entry;
  uint32_t attempts;
  bool open; /**< Sent, not answered. */
  bool alone;
  HsTime sent;
  HsTime answered; /**< 0: never. */
  Answer *answer;  /**< The final one, or NULL. */
  GString *reply;
  struct curl_slist *headers;
} LoadSend;

struct LoadJob
{
  struct Load *load;
  const PlannedJob *plan;
  HsTime arrived; /**< Monotonic; 0: not yet. */
  char id[LOAD_ID_SIZE];
  char *body;        /**< While a send is left. */
  LoadSend sends[2]; /**< The first, and the resubmission. */
  uint32_t n_sends;
  uint32_t n_ended;
  GArray *events; /**< Of LoadEvent. */
};

typedef struct Load
{
  const Scenario *scenario;
  struct tevent_context *ev;
  struct HsCurl *curl;
  LoadJob *jobs;
  size_t n_jobs;
  size_t next;   /**< The job that arrives next. */
  uint64_t open; /**< Sends that have not ended, and cancellations. */
  Balancer *balancer;
  HsTime started;
} Load;

/** The customer's name and its key. Free both. */
void load_customer (const Scenario *scenario,
                    uint32_t customer,
                    char **name,
                    char **key);

/**
 * Runs a scenario until every job has ended.
 * @return talloc child of @p ctx
 */
Load *
load_run (TALLOC_CTX *ctx, struct tevent_context *ev, const Scenario *scenario);

#endif
