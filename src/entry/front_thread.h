/**
 * @file
 * What the HTTP threads for callers share among their own files: the thread,
 * its connections and its table of requests.
 */
#ifndef HS_ENTRY_FRONT_THREAD_H
#define HS_ENTRY_FRONT_THREAD_H

#include <pthread.h>
#include <stdatomic.h>

#include <microhttpd.h>
#include <tevent.h>

#include "base/queue.h"
#include "entry/front.h"
#include "http/mhd_request.h"

typedef struct HsFrontThread HsFrontThread;

/** A caller's connection. */
typedef struct HsFrontConn
{
  struct HsFrontConn *prev;
  struct HsFrontConn *next;
  int fd;
  bool reading; /**< Its caller is to send something. */
  HsTime since; /**< Start of the headers or of the body being read. */
} HsFrontConn;

typedef enum
{
  HS_REQUEST_READING,   /**< The body is being received. */
  HS_REQUEST_WAITING,   /**< Passed to the core; the connection sleeps. */
  HS_REQUEST_ANSWERED,  /**< The answer is to be written. */
  HS_REQUEST_ABANDONED, /**< The front stops before the answer came. */
  HS_REQUEST_RESPONDED  /**< The response is queued. */
} HsRequestState;

/** One request on a connection. */
typedef struct
{
  HsFrontThread *thread;
  struct MHD_Connection *connection;
  HsFrontConn *conn;
  HsRequestState state;
  uint32_t slot;
  hsx_verb verb;
  hsx_forward_args *args; /**< FETCH and CANCEL: read from the path. */
  HsMhdBody body;
  GError *error;       /**< Found early; answered once the request is read. */
  unsigned int status; /**< Overrides the status of the error's kind. */
  const char *allow;   /**< Methods that the path takes. */
  HsFrontCall *call;   /**< The answer, once it is back. */
} HsFrontRequest;

/** An entry of the table of requests. */
typedef struct
{
  HsFrontRequest *request; /**< NULL: free. */
  uint32_t generation;     /**< Rises each time the slot is used. */
  uint32_t next_free;
} HsFrontSlot;

struct HsFrontThread
{
  HsFront *front;
  pthread_t id;
  bool started;
  struct tevent_context *ev;
  struct tevent_immediate *again;
  struct MHD_Daemon *daemon;
  HsQueue *answers;
  bool quiesced;
  HsFrontConn *conns;
  uint32_t n_conns;
  uint32_t max_conns; /**< No more are accepted. */
  HsFrontSlot *slots;
  uint32_t n_slots;
  uint32_t first_free;
  _Atomic uint64_t counts[6]; /**< Responses by status class. */
};

struct HsFront
{
  const HsEntrySettings *settings;
  HsPublishedLists *lists;
  HsFrontSubmit submit;
  void *arg;
  int listen_fd;
  uint16_t port;
  atomic_bool draining;
  atomic_bool stopping;
  atomic_uint in_flight;
  uint32_t n_threads;
  HsFrontThread **threads;
};

/** MHD's access handler; @p cls is the thread. */
enum MHD_Result hs_front_handle (void *cls,
                                 struct MHD_Connection *connection,
                                 const char *url,
                                 const char *method,
                                 const char *version,
                                 const char *upload,
                                 size_t *upload_len,
                                 void **state);

/** MHD's notice that a request ended, whichever way. */
void hs_front_completed (void *cls,
                         struct MHD_Connection *connection,
                         void **state,
                         enum MHD_RequestTerminationCode code);

/** Enters a request in the thread's table. */
void hs_front_table_add (HsFrontThread *thread, HsFrontRequest *request);
void hs_front_table_remove (HsFrontThread *thread, HsFrontRequest *request);

/** The request that a call belongs to; NULL if it is gone. */
HsFrontRequest *hs_front_table_find (HsFrontThread *thread,
                                     const HsFrontCall *call);

#endif
