/**
 * @file
 * What the HTTP threads for callers share among their own files: the thread,
 * its connections and its table of requests.
 */
#ifndef HS_ENTRY_FRONTEND_PRIVATE_H
#define HS_ENTRY_FRONTEND_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include <microhttpd.h>
#include <tevent.h>

#include "base/queue.h"
#include "entry/frontend.h"
#include "http/mhd_request.h"

typedef struct HsFrontendThread HsFrontendThread;

/** A caller's connection. */
typedef struct HsFrontendConn
{
  struct HsFrontendConn *prev;
  struct HsFrontendConn *next;
  int fd;
  bool receiving; /**< Its caller is to send something. */
  HsTime
      receiving_since; /**< Start of the headers or of the body being read. */
} HsFrontendConn;

typedef enum
{
  HS_REQUEST_RECEIVING,      /**< The body is being received. */
  HS_REQUEST_IN_CORE,        /**< Passed to the core; the connection sleeps. */
  HS_REQUEST_ANSWERED,       /**< The answer is to be written. */
  HS_REQUEST_ABANDONED,      /**< The front stops before the answer came. */
  HS_REQUEST_RESPONSE_QUEUED /**< The response is queued. */
} HsFrontendRequestState;

/** One request on a connection. */
typedef struct
{
  HsFrontendThread *thread;
  struct MHD_Connection *connection;
  HsFrontendConn *conn;
  HsFrontendRequestState state;
  uint32_t slot;
  hsx_verb verb;
  hsx_forward_args *args; /**< FETCH and CANCEL: read from the path. */
  HsMhdBody body;
  GError *error; /**< Found early; answered once the request is read. */
  unsigned int
      status_override;         /**< Overrides the status of the error's kind. */
  const char *allowed_methods; /**< Methods that the path takes. */
  HsJobRequest *job;           /**< The answer, once it is back. */
} HsFrontendRequest;

/** An entry of the table of requests. */
typedef struct
{
  HsFrontendRequest *request; /**< NULL: free. */
  uint32_t generation;        /**< Rises each time the slot is used. */
  uint32_t next_free;
} HsFrontendSlot;

struct HsFrontendThread
{
  HsFrontend *front;
  pthread_t pthread;
  bool started;
  struct tevent_context *ev;
  struct tevent_immediate *rerun;
  struct MHD_Daemon *daemon;
  HsQueue *answers;
  bool quiesced;
  HsFrontendConn *conns;
  uint32_t n_conns;
  uint32_t max_conns; /**< No more are accepted. */
  HsFrontendSlot *slots;
  uint32_t n_slots;
  uint32_t first_free;
  _Atomic uint64_t response_counts[6]; /**< Responses by status class. */
};

struct HsFrontend
{
  const HsEntrySettings *settings;
  HsListsBox *lists;
  HsFrontendSubmitFunc submit;
  void *arg;
  int listen_fd;
  uint16_t port;
  atomic_bool draining;
  atomic_bool stopping;
  atomic_uint in_flight;
  uint32_t n_threads;
  HsFrontendThread **threads;
};

/** MHD's access handler; @p cls is the thread. */
enum MHD_Result hs_frontend_handle_request (void *cls,
                                            struct MHD_Connection *connection,
                                            const char *url,
                                            const char *method,
                                            const char *version,
                                            const char *upload,
                                            size_t *upload_len,
                                            void **state);

/** MHD's notice that a request ended, whichever way. */
void hs_frontend_request_completed (void *cls,
                                    struct MHD_Connection *connection,
                                    void **state,
                                    enum MHD_RequestTerminationCode code);

/** Enters a request in the thread's table. */
void hs_frontend_table_add (HsFrontendThread *thread,
                            HsFrontendRequest *request);
void hs_frontend_table_remove (HsFrontendThread *thread,
                               HsFrontendRequest *request);

/** The request that a call belongs to; NULL if it is gone. */
HsFrontendRequest *hs_frontend_table_find (HsFrontendThread *thread,
                                           const HsJobRequest *job);

#endif
