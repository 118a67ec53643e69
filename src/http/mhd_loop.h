/**
 * @file
 * A libmicrohttpd server on a tevent loop: no threads of its own; all
 * callbacks run on the loop's thread.
 */
#ifndef HS_HTTP_MHD_LOOP_H
#define HS_HTTP_MHD_LOOP_H

#include <stdint.h>

#include <glib.h>
#include <microhttpd.h>
#include <talloc.h>
#include <tevent.h>

typedef struct HsMhd HsMhd;

/** What a server is made of. */
typedef struct
{
  const char *listen; /**< "IP:port"; port 0 takes a free one. */
  MHD_AccessHandlerCallback handle;
  MHD_RequestCompletedCallback completed;
  void *arg; /**< Given to both callbacks. */
  unsigned int max_connections;
  unsigned int idle_timeout_s; /**< 0: idle connections are kept. */
} HsMhdOptions;

/**
 * Starts a server; talloc_free() stops it. Requests that are suspended then
 * must have been resumed before.
 * Errors: HS_ERROR_INVALID for the address, HS_ERROR_IO.
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

/** The port listened on. */
uint16_t hs_mhd_port (const HsMhd *mhd);

#endif
