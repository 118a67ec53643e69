/**
 * @file
 * Declarations shared by the files of the HTTP frontend: its threads, their
 * connections and their tables of requests.
 */
#ifndef HS_ENTRY_FRONTEND_PRIVATE_H
#define HS_ENTRY_FRONTEND_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include <microhttpd.h>
#include <tevent.h>

#include "base/queue.h"
#include "config/entry_memory.h"
#include "entry/frontend.h"
#include "http/mhd_loop.h"

typedef struct HsFrontendThread HsFrontendThread;

typedef enum
{
  HS_REQUEST_RECEIVING,      /**< The body is being received. */
  HS_REQUEST_IN_CORE,        /**< Passed to the core; connection suspended. */
  HS_REQUEST_ANSWERED,       /**< The core has answered. */
  HS_REQUEST_ABANDONED,      /**< The frontend stops before an answer. */
  HS_REQUEST_RESPONSE_QUEUED /**< MHD sends the response. */
} HsFrontendRequestState;

/** A request on a connection. */
typedef struct
{
  HsFrontendThread *thread;
  struct MHD_Connection *connection;
  HsFrontendRequestState state;
  uint32_t slot;
  hsx_verb verb;
  hsx_forward_args *args; /**< Of FETCH and CANCEL, from the path. */
  HsMhdBody body;
  GError *error;                /**< Found before the body; sent after it. */
  unsigned int status_override; /**< HTTP status; 0: that of the error. */
  const char *allowed_methods;  /**< For the Allow header of status 405. */
  HsJobRequest *job; /**< With its answer, once the core has answered. */
} HsFrontendRequest;

/** A slot of a thread's table of requests. */
typedef struct
{
  HsFrontendRequest *request; /**< NULL: the slot is free. */
  uint32_t generation;        /**< Incremented with each use of the slot. */
  uint32_t next_free;         /**< Index of the next free slot. */
} HsFrontendSlot;

struct HsFrontendThread
{
  HsFrontend *frontend;
  pthread_t pthread;
  bool started;
  struct tevent_context *ev;
  HsBodyBudget *budget; /**< This thread's part of the entry's memory. */
  HsMhd *mhd;
  HsQueue *answers; /**< Of HsJobRequest, from the core. */
  bool quiesced;    /**< Accepts no connections any more. */
  HsFrontendSlot *slots;
  uint32_t n_slots;
  uint32_t first_free;
  _Atomic uint64_t response_counts[6]; /**< Responses by status class. */
};

struct HsFrontend
{
  const HsEntrySettings *settings;
  HsPublishedLists *lists;
  HsFrontendSubmitFunc submit;
  void *arg;
  HsEntryThreadLimits limits; /**< Of each thread. */
  int listen_fd;
  uint16_t port;
  atomic_bool draining;
  atomic_bool stopping;
  atomic_uint requests_in_flight;
  uint32_t n_threads;
  HsFrontendThread **threads;
};

/**
 * MHD's access handler, called for a new request, for each part of its body
 * and when it is complete or resumed.
 * @param cls the HsFrontendThread
 * @param state the HsFrontendRequest; NULL for a new request
 */
enum MHD_Result hs_frontend_handle_request (void *cls,
                                            struct MHD_Connection *connection,
                                            const char *url,
                                            const char *method,
                                            const char *version,
                                            const char *upload,
                                            size_t *upload_len,
                                            void **state);

/** MHD's notification that a request has ended, for any reason. */
void hs_frontend_request_completed (void *cls,
                                    struct MHD_Connection *connection,
                                    void **state,
                                    enum MHD_RequestTerminationCode code);

/** Frees a job request that the core has passed back. */
void hs_frontend_free_job_request (HsFrontendThread *thread, HsJobRequest *job);

/** Adds a request to the thread's table and sets its `slot`. */
void hs_frontend_table_add (HsFrontendThread *thread,
                            HsFrontendRequest *request);
void hs_frontend_table_remove (HsFrontendThread *thread,
                               HsFrontendRequest *request);

/** The request that a job request came from; NULL if it has ended. */
HsFrontendRequest *hs_frontend_table_find (HsFrontendThread *thread,
                                           const HsJobRequest *job);

#endif
