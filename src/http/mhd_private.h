/**
 * @file
 * Declarations shared by the files of the HTTP server: the daemon on its event
 * loop, and the connections of a server with a budget.
 */
#ifndef HS_HTTP_MHD_PRIVATE_H
#define HS_HTTP_MHD_PRIVATE_H

#include "base/timer.h"
#include "http/mhd_loop.h"

/** Connections beyond the limit, so that some can be accepted while others are
 *  being closed for them; libmicrohttpd accepts up to 10 in one run. */
#define HS_MHD_CLOSING_MARGIN 32

struct HsMhd
{
  struct MHD_Daemon *daemon;
  struct tevent_context *ev;
  struct tevent_fd *epoll_event;
  HsTimer *timer;
  HsTimer *receive_timer; /* NULL without a time limit. */
  struct tevent_immediate *resume;
  uint16_t port;
  HsMhdOptions options;
  /* With a budget: */
  HsBodyServer server;
  GQueue conns;     /* The open ones. */
  GQueue throttled; /* Suspended ones, those that wait longest first. */
  uint32_t turn;
  uint32_t n_parts;      /* Delivered in this turn. */
  size_t n_passed_on[2]; /* Bytes of bodies in this turn; [1]: of large ones. */
  HsTime now;            /* When the last run began. */
};

/** Runs libmicrohttpd in the next turn of the loop. No effect while the server
 *  is stopped. */
void hs_mhd_run_soon (HsMhd *mhd);

/** Resets what the connections may deliver, and resumes some of the suspended
 *  ones. */
void hs_mhd_begin_turn (HsMhd *mhd);

/** Resumes up to @p max suspended connections. */
void hs_mhd_resume_throttled (HsMhd *mhd, uint32_t max);

/** Closes the connections of requests that take too long to arrive. */
void hs_mhd_close_late (HsMhd *mhd, HsTime now);

/** libmicrohttpd's callbacks; @p arg is the HsMhd. */
void hs_mhd_on_connection (void *arg,
                           struct MHD_Connection *connection,
                           void **context,
                           enum MHD_ConnectionNotificationCode code);
enum MHD_Result hs_mhd_on_request (void *arg,
                                   struct MHD_Connection *connection,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *data,
                                   size_t *len,
                                   void **state);
void hs_mhd_on_completed (void *arg,
                          struct MHD_Connection *connection,
                          void **state,
                          enum MHD_RequestTerminationCode code);

#endif
