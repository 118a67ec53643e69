/**
 * @file
 * Addresses by IP number, as "192.0.2.1:80" or "[2001:db8::1]:80". Names are
 * refused: processes never wait for a resolver.
 */
#ifndef HS_BASE_ADDRESS_H
#define HS_BASE_ADDRESS_H

#include <stdbool.h>

#include <sys/socket.h>

/**
 * Parses "IP:port" into @p address.
 * @param len set to the length of the address filled in
 * @return false if the text isn't an IP number and a port from 0 to 65535
 */
bool hs_address_parse (const char *text,
                       struct sockaddr_storage *address,
                       socklen_t *len);

/** The port of a parsed or bound address, in host order. */
unsigned int hs_address_port (const struct sockaddr_storage *address);

/** True for 0.0.0.0 and [::]. */
bool hs_address_is_any (const struct sockaddr_storage *address);

#endif
