/**
 * @file
 * TCP proxies on loopback that delay, silence, cut one way or reset what goes
 * through them. They run in a thread of their own.
 */
#ifndef HS_SOAK_PROXY_H
#define HS_SOAK_PROXY_H

/** What happens to bytes. */
typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,        /**< Each way, by the figure in milliseconds. */
  PROXY_DROP,         /**< Nothing comes through; connections stay open. */
  PROXY_DROP_REPLIES, /**< Nothing comes back. */
  PROXY_RESET         /**< Open connections are reset once; then it passes. */
} ProxyMode;

/** Starts the thread. */
void proxy_init (void);

/** A proxy to an address; writes its own. @return its number */
unsigned int proxy_add (const char *to, char out[32]);

void proxy_set (unsigned int proxy, ProxyMode mode, int ms);

unsigned int proxy_count (void);

#endif
