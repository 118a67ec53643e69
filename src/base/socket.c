#include "base/socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

void
hs_socket_bound_receive_buffer (int fd, size_t bytes)
{
  int half = (int) (bytes / 2); /* The kernel takes twice the value. */
  int window = (int) bytes;

  (void) setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &half, sizeof half);
  /* Some kernels keep the window of the socket that listened. */
  (void) setsockopt (fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, &window, sizeof window);
}
