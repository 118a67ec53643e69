/**
 * @file
 * A small HTTP server for stand-ins: whole requests in, answers out, at once
 * or later, or none.
 */
#ifndef HS_STANDIN_HTTP_H
#define HS_STANDIN_HTTP_H

#include <stdbool.h>
#include <stddef.h>

#include <microhttpd.h>
#include <talloc.h>
#include <tevent.h>

typedef struct HsStandinHttp HsStandinHttp;

/** A request; it lives until it is answered, or its caller has gone. */
typedef struct
{
  const char *method;
  const char *path; /**< Without the query. */
  const char *body; /**< NUL-terminated. */
  size_t len;
  void *data; /**< The handler's; a talloc child is freed with it. */
  struct MHD_Connection *connection;
} HsStandinRequest;

/** Takes a whole request; answers it now or later. */
typedef void (*HsStandinHandler) (void *arg, HsStandinRequest *request);

/** @return NULL if the address can't be listened on */
HsStandinHttp *hs_standin_http_new (
    TALLOC_CTX *ctx,
    struct tevent_context *ev,
    const char *listen,
    HsStandinHandler handler,
    void (*on_disconnected) (void *arg, HsStandinRequest *request),
    void *arg);

/** The value of a query argument, or NULL. */
const char *hs_standin_query (const HsStandinRequest *request,
                              const char *name);

/** Answers with JSON; the request is gone afterwards. */
void
hs_standin_respond (HsStandinRequest *request, unsigned int status, char *body);

/** Closes the connection without an answer. */
void hs_standin_abort (HsStandinRequest *request);

/** The port listened on. */
unsigned int hs_standin_port (const HsStandinHttp *http);

#endif
