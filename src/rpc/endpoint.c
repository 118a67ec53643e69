#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/error.h"
#include "base/socket.h"
#include "rpc/endpoint_private.h"

#define LISTEN_BACKLOG 512

/** Receive buffer of a connection until the peer has proved that it knows the
 *  key; HELLO and the next record fit. */
#define HANDSHAKE_RECEIVE_BYTES 8192

static void on_listen_ready (struct tevent_context *ev,
                             struct tevent_fd *event,
                             uint16_t flags,
                             void *arg);
static int endpoint_destructor (HsRpc *rpc);
static void drop_oldest_handshake (HsRpc *rpc);

HsRpc *
hs_rpc_new (TALLOC_CTX *ctx,
            struct tevent_context *ev,
            const hsx_hello *self,
            const char *key,
            const HsRpcHandler *handler,
            void *arg)
{
  HsRpc *rpc = talloc_zero (ctx, HsRpc);

  rpc->ev = ev;
  rpc->self = *self;
  rpc->self.address = rpc->self_address;
  rpc->self.data_centre = rpc->self_data_centre;
  g_strlcpy (rpc->self_address, self->address, sizeof rpc->self_address);
  g_strlcpy (rpc->self_data_centre, self->data_centre,
             sizeof rpc->self_data_centre);
  rpc->key_len = strlen (key);
  rpc->key = talloc_memdup (rpc, key, rpc->key_len);
  rpc->handler = *handler;
  rpc->arg = arg;
  rpc->listen_fd = -1;
  rpc->max_handshakes = HS_RPC_HANDSHAKES_MAX;
  talloc_set_destructor (rpc, endpoint_destructor);
  return rpc;
}

bool
hs_rpc_listen (HsRpc *rpc, const char *address, GError **error)
{
  int fd = hs_socket_listen (address, LISTEN_BACKLOG, HANDSHAKE_RECEIVE_BYTES,
                             &rpc->port, error);

  if (fd < 0)
    return false;
  rpc->listen_fd = fd;
  rpc->listen_event
      = tevent_add_fd (rpc->ev, rpc, fd, TEVENT_FD_READ, on_listen_ready, rpc);
  return true;
}

uint16_t
hs_rpc_port (const HsRpc *rpc)
{
  return rpc->port;
}

void
hs_rpc_stop_listening (HsRpc *rpc)
{
  if (rpc->listen_fd < 0)
    return;
  TALLOC_FREE (rpc->listen_event);
  close (rpc->listen_fd);
  rpc->listen_fd = -1;
}

void
hs_rpc_set_max_handshakes (HsRpc *rpc, uint32_t max)
{
  rpc->max_handshakes = max;
}

void
hs_rpc_set_address (HsRpc *rpc, const char *address)
{
  g_strlcpy (rpc->self_address, address, sizeof rpc->self_address);
}

HsConn *
hs_rpc_dial (HsRpc *rpc, const char *address)
{
  struct sockaddr_storage in;
  socklen_t len;
  int fd;

  if (!hs_address_parse (address, &in, &len))
    return hs_conn_new_failed (rpc, false);
  fd = socket (in.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return hs_conn_new_failed (rpc, false);
  if (connect (fd, (struct sockaddr *) &in, len) < 0 && errno != EINPROGRESS)
    {
      bool refused = errno == ECONNREFUSED;

      close (fd);
      return hs_conn_new_failed (rpc, refused);
    }
  return hs_conn_new (rpc, fd, true);
}

const HsRpcStats *
hs_rpc_stats (const HsRpc *rpc)
{
  return &rpc->stats;
}

void
hs_handshakes_add (HsRpc *rpc, HsHandshake *handshake, HsConn *conn)
{
  if (rpc->n_handshakes >= rpc->max_handshakes)
    drop_oldest_handshake (rpc);
  handshake->conn = conn;
  handshake->older = rpc->newest_handshake;
  handshake->newer = NULL;
  if (rpc->newest_handshake != NULL)
    rpc->newest_handshake->newer = handshake;
  else
    rpc->oldest_handshake = handshake;
  rpc->newest_handshake = handshake;
  rpc->n_handshakes++;
}

void
hs_handshakes_remove (HsRpc *rpc, HsHandshake *handshake)
{
  if (handshake->conn == NULL)
    return;
  handshake->conn = NULL;
  if (handshake->older != NULL)
    handshake->older->newer = handshake->newer;
  else
    rpc->oldest_handshake = handshake->newer;
  if (handshake->newer != NULL)
    handshake->newer->older = handshake->older;
  else
    rpc->newest_handshake = handshake->older;
  rpc->n_handshakes--;
}

static void
on_listen_ready (struct tevent_context *ev,
                 struct tevent_fd *event,
                 uint16_t flags,
                 void *arg)
{
  HsRpc *rpc = arg;
  int fd = accept4 (rpc->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void) ev;
  (void) event;
  (void) flags;
  if (fd >= 0)
    hs_conn_new (rpc, fd, false);
  else if (errno == EMFILE || errno == ENFILE)
    drop_oldest_handshake (rpc);
}

/* Legitimate peers send HELLO at once, so the oldest handshake is the least
   likely to be theirs. */
static void
drop_oldest_handshake (HsRpc *rpc)
{
  if (rpc->oldest_handshake == NULL)
    return;
  rpc->stats.dropped_handshakes++;
  hs_conn_close (rpc->oldest_handshake->conn);
}

static int
endpoint_destructor (HsRpc *rpc)
{
  hs_rpc_stop_listening (rpc);
  return 0;
}
