#include "http.h"

#include <string.h>

#include "http/mhd_loop.h"
#include "http/mhd_request.h"

#define CONNECTIONS_MAX 2000
#define BODY_MAX (8 * 1024 * 1024)

typedef enum
{
  STATE_READING,
  STATE_HANDLING, /* In the handler, or suspended until it is answered. */
  STATE_RESPONSE_SET,
  STATE_RESPONSE_QUEUED
} State;

typedef struct
{
  HsStandinRequest public;
  HsStandinHttp *http;
  State state;
  bool in_handler;
  bool suspended;
  bool aborted;
  unsigned int status;
  char *response_body;
  HsMhdBody body;
} Request;

struct HsStandinHttp
{
  HsMhd *mhd;
  HsStandinHandler handler;
  void (*on_disconnected) (void *arg, HsStandinRequest *request);
  void *arg;
};

static enum MHD_Result
respond (Request *request)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  request->state = STATE_RESPONSE_QUEUED;
  if (request->aborted)
    return MHD_NO;
  response
      = hs_mhd_response (request->response_body,
                         strlen (request->response_body), "application/json");
  result = MHD_queue_response (request->public.connection, request->status,
                               response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
dispatch (Request *request)
{
  HsStandinHttp *http = request->http;

  /* Handlers rely on a terminating NUL. */
  request->body.data = talloc_realloc (request, request->body.data, char,
                                       request->body.len + 1);
  request->body.data[request->body.len] = '\0';
  request->public.body = request->body.data;
  request->public.len = request->body.len;
  request->state = STATE_HANDLING;
  request->in_handler = true;
  http->handler (http->arg, &request->public);
  request->in_handler = false;
  if (request->state == STATE_RESPONSE_SET)
    return respond (request);
  request->suspended = true;
  MHD_suspend_connection (request->public.connection);
  return MHD_YES;
}

static enum MHD_Result
handle (void *cls,
        struct MHD_Connection *connection,
        const char *url,
        const char *method,
        const char *version,
        const char *data,
        size_t *len,
        void **state)
{
  HsStandinHttp *http = cls;
  Request *request = *state;

  (void) version;
  if (request == NULL)
    {
      request = talloc_zero (http, Request);
      *state = request;
      request->http = http;
      request->public.connection = connection;
      request->public.path = talloc_strdup (request, url);
      request->public.method = talloc_strdup (request, method);
      return hs_mhd_body_begin (&request->body, connection, BODY_MAX, NULL)
                 ? MHD_YES
                 : MHD_NO;
    }
  if (request->state == STATE_RESPONSE_SET)
    return respond (request);
  if (request->state != STATE_READING)
    return MHD_YES;
  if (*len == 0)
    return dispatch (request);
  if (!hs_mhd_body_add (request, &request->body, data, *len, NULL))
    return MHD_NO;
  *len = 0;
  return MHD_YES;
}

static void
completed (void *cls,
           struct MHD_Connection *connection,
           void **state,
           enum MHD_RequestTerminationCode code)
{
  HsStandinHttp *http = cls;
  Request *request = *state;

  (void) connection;
  (void) code;
  if (request == NULL)
    return;
  if (request->state == STATE_HANDLING && http->on_disconnected != NULL)
    http->on_disconnected (http->arg, &request->public);
  talloc_free (request);
  *state = NULL;
}

HsStandinHttp *
hs_standin_http_new (TALLOC_CTX *ctx,
                     struct tevent_context *ev,
                     const char *listen,
                     HsStandinHandler handler,
                     void (*on_disconnected) (void *arg,
                                              HsStandinRequest *request),
                     void *arg)
{
  HsStandinHttp *http = talloc_zero (ctx, HsStandinHttp);
  HsMhdOptions options = { .listen = listen,
                           .handle = handle,
                           .completed = completed,
                           .arg = http,
                           .max_connections = CONNECTIONS_MAX };

  http->handler = handler;
  http->on_disconnected = on_disconnected;
  http->arg = arg;
  http->mhd = hs_mhd_new (http, ev, &options, NULL);
  if (http->mhd != NULL)
    return http;
  talloc_free (http);
  return NULL;
}

const char *
hs_standin_query (const HsStandinRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

static void
finish (Request *request)
{
  request->state = STATE_RESPONSE_SET;
  if (request->suspended)
    hs_mhd_resume (request->http->mhd, request->public.connection);
}

void
hs_standin_respond (HsStandinRequest *public, unsigned int status, char *body)
{
  Request *request = (Request *) (void *) public;

  request->status = status;
  request->response_body = talloc_steal (request, body);
  finish (request);
}

void
hs_standin_abort (HsStandinRequest *public)
{
  Request *request = (Request *) (void *) public;

  request->aborted = true;
  finish (request);
}

unsigned int
hs_standin_port (const HsStandinHttp *http)
{
  return hs_mhd_port (http->mhd);
}
