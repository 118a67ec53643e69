/**
 * @file
 * Shared by the files that implement the server of the stand-in store.
 */
#ifndef HS_STANDIN_STORE_SERVER_PRIVATE_H
#define HS_STANDIN_STORE_SERVER_PRIVATE_H

#include <microhttpd.h>

#include "store_server.h"

typedef struct HsServerWatch HsServerWatch;

/** A request until it is answered. */
typedef struct
{
  HsStoreServer *server;
  struct MHD_Connection *connection;
  GByteArray *body;
  struct tevent_timer *timer;
  bool delayed; /* In the delay, with its connection suspended. */
  bool delay_passed;
} HsStoreRequest;

/** The response stream of a watch. */
struct HsServerWatch
{
  HsStoreServer *server;
  struct MHD_Connection *connection;
  HsGatewayWatch state;
  char *line; /* The line being written, from `offset` on; NULL: none. */
  size_t offset;
  struct tevent_fd *fde; /* While suspended: detects that the client has
                            disconnected. */
  bool suspended;
  bool closing;
};

struct HsStoreServer
{
  struct tevent_context *ev;
  struct MHD_Daemon *daemon;
  uint16_t port;
  HsKv *kv;
  HsStoreFaults faults;
  uint64_t calls[HS_GATEWAY_N_CALLS];
  GPtrArray *watches;
  GPtrArray *delayed;
  struct tevent_timer *run_timer;
  struct tevent_timer *lease_timer;
  struct tevent_timer *lag_timer;
};

/** Schedules the HTTP server to run after @p delay, in place of the last
 *  schedule. */
void hs_store_server_schedule_run (HsStoreServer *server, HsTime delay);

/** Queues a JSON answer; @p text is copied. */
enum MHD_Result hs_store_server_respond (struct MHD_Connection *connection,
                                         unsigned int status,
                                         const char *text);

/** Answers POST /fault. */
enum MHD_Result hs_store_server_set_faults (HsStoreRequest *request);

/** Answers GET /calls. */
enum MHD_Result hs_store_server_report_calls (HsStoreRequest *request);

/** Begins to answer POST /v3/watch. */
enum MHD_Result hs_store_server_start_watch (HsStoreRequest *request);

/** Resumes a suspended watch, so that it writes new events or closes. */
void hs_store_server_resume_watch (HsServerWatch *watch);

#endif
