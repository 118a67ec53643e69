/**
 * @file
 * Numeric IP addresses with a port, such as "192.0.2.1:80" or
 * "[2001:db8::1]:80". Host names are rejected, so that no process ever waits
 * for a name server.
 */
#ifndef HS_BASE_ADDRESS_H
#define HS_BASE_ADDRESS_H

#include <stdbool.h>

#include <sys/socket.h>

/**
 * Parses "IP:port" into @p address.
 * @param len set to the length of the parsed address
 * @return false if @p text isn't a numeric IP address and a port from 0 to
 *         65535
 */
bool hs_address_parse (const char *text,
                       struct sockaddr_storage *address,
                       socklen_t *len);

/** Returns the port of a parsed or bound address, in host byte order. */
unsigned int hs_address_port (const struct sockaddr_storage *address);

/** Returns true for the wildcard addresses 0.0.0.0 and [::]. */
bool hs_address_is_any (const struct sockaddr_storage *address);

#endif
