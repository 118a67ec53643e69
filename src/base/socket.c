#include "base/socket.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/error.h"

void
hs_socket_bound_receive_buffer (int fd, size_t bytes)
{
  int half = (int) (bytes / 2); /* The kernel takes twice the value. */
  int window = (int) bytes;

  (void) setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &half, sizeof half);
  /* Some kernels keep the window of the socket that listened. */
  (void) setsockopt (fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, &window, sizeof window);
}

int
hs_socket_listen (const char *text,
                  int backlog,
                  size_t receive_bytes,
                  uint16_t *port,
                  GError **error)
{
  struct sockaddr_storage address;
  socklen_t len;
  int on = 1;
  int fd;

  if (!hs_address_parse (text, &address, &len))
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "%s: not an address; write an IP address and a port, as "
                   "127.0.0.1:8080",
                   text);
      return -1;
    }
  fd = socket (address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
               0);
  if (fd >= 0 && receive_bytes > 0)
    hs_socket_bound_receive_buffer (fd, receive_bytes);
  if (fd >= 0 && setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
      && bind (fd, (struct sockaddr *) &address, len) == 0
      && listen (fd, backlog) == 0
      && getsockname (fd, (struct sockaddr *) &address, &len) == 0)
    {
      *port = (uint16_t) hs_address_port (&address);
      return fd;
    }
  g_set_error (error, HS_ERROR, HS_ERROR_IO,
               "%s: cannot listen: %s; free the address or choose another",
               text, g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}
