/**
 * @file
 * A libmicrohttpd server on a tevent loop: no threads of its own; all
 * callbacks run on the loop's thread.
 */
#ifndef HS_HTTP_MHD_LOOP_H
#define HS_HTTP_MHD_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <microhttpd.h>
#include <talloc.h>
#include <tevent.h>

#include "base/time.h"
#include "http/mhd_request.h"

typedef struct HsMhd HsMhd;

/** Replaces the escapes in a path or a name; see MHD_OPTION_UNESCAPE_CALLBACK.
 */
typedef size_t (*HsMhdUnescapeFunc) (void *arg,
                                     struct MHD_Connection *connection,
                                     char *text);

/** Parameters of a server. */
typedef struct
{
  const char *listen; /**< "IP:port"; port 0: any free port. */
  int listen_fd; /**< 0: none. A socket that listens at that address already, of
                      which the server uses a duplicate. */
  MHD_AccessHandlerCallback handle;
  MHD_RequestCompletedCallback completed;
  void *arg; /**< First argument of both callbacks. */
  unsigned int max_connections;
  unsigned int idle_timeout_s; /**< 0: idle connections stay open. */
  HsBodyBudget *budget; /**< NULL: connections wait to be accepted while there
                             are max_connections. Otherwise those with the least
                             progress are closed then, and the memory of bodies
                             is bounded; outlives the server. The context of the
                             daemon's connections is the server's then. */
  /* The following take effect with a budget only. */
  size_t pool_bytes; /**< Memory of libmicrohttpd for each connection, which
                          limits the size of the headers; 0:
                          HS_CONNECTION_POOL_BYTES. */
  HsTime receive_timeout;     /**< For the headers, and then for the body, of a
                                   request; 0: none. */
  HsMhdUnescapeFunc unescape; /**< NULL: libmicrohttpd's own. */
  bool strict;                /**< Refuse requests that break HTTP in ways that
                                   libmicrohttpd would accept. */
  bool drops_answers;   /**< Connections may also be closed for new ones while
                             their clients don't read the answer. */
  const char *log_part; /**< Of messages about what was dropped; NULL: they are
                             written as lines of hs_event(). */
} HsMhdOptions;

/**
 * Starts a server; talloc_free() stops it. All suspended connections must have
 * been resumed by then.
 * Errors: HS_ERROR_INVALID for the address, HS_ERROR_IO.
 * @return talloc child of @p ctx, or NULL
 */
HsMhd *hs_mhd_new (TALLOC_CTX *ctx,
                   struct tevent_context *ev,
                   const HsMhdOptions *options,
                   GError **error);

/**
 * Resumes a suspended connection; its access handler is called again from
 * the event loop. May be called in any callback.
 */
void hs_mhd_resume (HsMhd *mhd, struct MHD_Connection *connection);

/**
 * Counts a body in the budget of its server, if that has one. It may be dropped
 * from then on, until its request is completed.
 */
void hs_mhd_bind_body (HsMhd *mhd,
                       struct MHD_Connection *connection,
                       HsMhdBody *body);

/** Accepts the connections that are established already, and no more. */
void hs_mhd_stop_accepting (HsMhd *mhd);

/** Connections that wait to be accepted by a server without `listen_fd`, at
 *  most. */
#define HS_MHD_LISTEN_BACKLOG 256

/** The port that the server listens on; 0 with `listen_fd`. */
uint16_t hs_mhd_port (const HsMhd *mhd);

#endif
