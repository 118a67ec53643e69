/**
 * @file
 * A small HTTP server for the stand-ins. It passes complete requests to a
 * handler, which answers them at once, later or not at all.
 */
#ifndef HS_STANDIN_HTTP_H
#define HS_STANDIN_HTTP_H

#include <stdbool.h>
#include <stddef.h>

#include <microhttpd.h>
#include <talloc.h>
#include <tevent.h>

typedef struct HsStandinHttp HsStandinHttp;

/** A request; valid until it is answered or its client has disconnected. */
typedef struct
{
  const char *method;
  const char *path; /**< Without the query. */
  const char *body; /**< NUL-terminated. */
  size_t len;
  void *data; /**< For the handler's use. */
  struct MHD_Connection *connection;
} HsStandinRequest;

/** Handles a complete request. Answers it now or later by hs_standin_respond(),
 *  or aborts it by hs_standin_abort(). */
typedef void (*HsStandinHandler) (void *arg, HsStandinRequest *request);

/**
 * Starts a server.
 * @param on_disconnected called for a request whose client disconnects before
 *                        it is answered; may be NULL
 * @return NULL if listening on the address fails
 */
HsStandinHttp *hs_standin_http_new (
    TALLOC_CTX *ctx,
    struct tevent_context *ev,
    const char *listen,
    HsStandinHandler handler,
    void (*on_disconnected) (void *arg, HsStandinRequest *request),
    void *arg);

/** Returns the value of a query parameter, or NULL. */
const char *hs_standin_query (const HsStandinRequest *request,
                              const char *name);

/** Answers with JSON; takes ownership of @p body. The request must not be used
 *  afterwards. */
void
hs_standin_respond (HsStandinRequest *request, unsigned int status, char *body);

/** Closes the connection without an answer. The request must not be used
 *  afterwards. */
void hs_standin_abort (HsStandinRequest *request);

/** Returns the port that the server listens on. */
unsigned int hs_standin_port (const HsStandinHttp *http);

#endif
