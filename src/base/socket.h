/**
 * @file
 * Options of TCP sockets.
 */
#ifndef HS_BASE_SOCKET_H
#define HS_BASE_SOCKET_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * Bounds the bytes that the kernel receives for a socket and the process hasn't
 * read, in place of the kernel's own bound, which grows. Connections inherit it
 * from the socket that listens. Where it can't be set, the kernel's own
 * remains.
 */
void hs_socket_bound_receive_buffer (int fd, size_t bytes);

/**
 * Opens a TCP socket that listens, without blocking.
 * Errors: HS_ERROR_INVALID for the address, HS_ERROR_IO.
 * @param text "IP:port"; port 0: any free port
 * @param backlog connections that may wait to be accepted
 * @param receive_bytes for hs_socket_bound_receive_buffer(); 0: the kernel's
 * own
 * @param port receives the port
 * @return the descriptor, or -1
 */
int hs_socket_listen (const char *text,
                      int backlog,
                      size_t receive_bytes,
                      uint16_t *port,
                      GError **error);

#endif
