/**
 * @file
 * Options of TCP sockets.
 */
#ifndef HS_BASE_SOCKET_H
#define HS_BASE_SOCKET_H

#include <stddef.h>

/**
 * Bounds the bytes that the kernel receives for a socket and the process hasn't
 * read, in place of the kernel's own bound, which grows. Connections inherit it
 * from the socket that listens. Where it can't be set, the kernel's own
 * remains.
 */
void hs_socket_bound_receive_buffer (int fd, size_t bytes);

#endif
