#include <string.h>

#include "store_server_private.h"

#define WATCH_BLOCK_SIZE ((size_t) 64 * 1024)

void
hs_store_server_resume_watch (HsServerWatch *watch)
{
  if (!watch->suspended)
    return;
  TALLOC_FREE (watch->fde);
  watch->suspended = false;
  MHD_resume_connection (watch->connection);
  hs_store_server_schedule_run (watch->server, 0);
}

static void
on_watch_socket (struct tevent_context *ev,
                 struct tevent_fd *fde,
                 uint16_t flags,
                 void *arg)
{
  HsServerWatch *watch = arg;

  (void) ev;
  (void) fde;
  (void) flags;
  watch->closing = true;
  hs_store_server_resume_watch (watch);
}

/* The client of a watch sends nothing more, so a readable socket means that it
   has disconnected. */
static void
suspend_watch (HsServerWatch *watch)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      watch->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  watch->suspended = true;
  MHD_suspend_connection (watch->connection);
  watch->fde
      = tevent_add_fd (watch->server->ev, watch->server, info->connect_fd,
                       TEVENT_FD_READ, on_watch_socket, watch);
}

static ssize_t
read_watch (void *arg, uint64_t position, char *out, size_t max)
{
  HsServerWatch *watch = arg;
  size_t n;

  (void) position;
  if (watch->closing)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (watch->line == NULL)
    {
      watch->line = hs_gateway_next_watch_line (
          watch->server, watch->server->kv, &watch->state);
      watch->offset = 0;
    }
  if (watch->line == NULL)
    {
      suspend_watch (watch);
      return 0;
    }
  n = MIN (strlen (watch->line + watch->offset), max);
  memcpy (out, watch->line + watch->offset, n);
  watch->offset += n;
  if (watch->line[watch->offset] == '\0')
    TALLOC_FREE (watch->line);
  return (ssize_t) n;
}

static void
free_watch (void *arg)
{
  HsServerWatch *watch = arg;

  g_ptr_array_remove (watch->server->watches, watch);
  talloc_free (watch->fde);
  talloc_free (watch);
}

enum MHD_Result
hs_store_server_start_watch (HsStoreRequest *request)
{
  HsStoreServer *server = request->server;
  HsServerWatch *watch = talloc_zero (NULL, HsServerWatch);
  struct MHD_Response *response;
  enum MHD_Result result;

  watch->server = server;
  watch->connection = request->connection;
  if (!hs_gateway_parse_watch (watch, server->kv,
                               (const char *) request->body->data,
                               request->body->len, &watch->state))
    {
      talloc_free (watch);
      return hs_store_server_respond (request->connection, MHD_HTTP_BAD_REQUEST,
                                      "{}");
    }
  g_ptr_array_add (server->watches, watch);
  response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, WATCH_BLOCK_SIZE, read_watch, watch, free_watch);
  result = MHD_queue_response (request->connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}
