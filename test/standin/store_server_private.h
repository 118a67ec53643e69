/**
 * @file
 * What the files of the stand-in's server share.
 */
#ifndef HS_STANDIN_STORE_SERVER_PRIVATE_H
#define HS_STANDIN_STORE_SERVER_PRIVATE_H

#include <microhttpd.h>

#include "store_server.h"

typedef struct HsServerWatch HsServerWatch;

/** One request while it arrives and waits. */
typedef struct
{
  HsStoreServer *server;
  struct MHD_Connection *connection;
  GByteArray *body;
  struct tevent_timer *timer;
  bool delayed; /* Waits, connection suspended. */
  bool delay_passed;
} HsStoreRequest;

/** The stream of one watch. */
struct HsServerWatch
{
  HsStoreServer *server;
  struct MHD_Connection *connection;
  HsGatewayWatch state;
  char *line; /* Being written. */
  size_t offset;
  struct tevent_fd *fde; /* Notices a client that hangs up meanwhile. */
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

/** Runs the HTTP server after @p delay, at the latest. */
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

/** Lets a watch write what is new, or close. */
void hs_store_server_resume_watch (HsServerWatch *watch);

#endif
