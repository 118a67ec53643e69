/**
 * @file
 * TCP proxies on loopback that can delay or drop the data that goes through
 * them, in one or both directions, reset connections, or make them silent. They
 * run in a thread of their own.
 */
#ifndef HS_SOAK_PROXY_H
#define HS_SOAK_PROXY_H

#include <stdint.h>

/** What a proxy does with the data of its connections. */
typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,        /**< Delays it in each direction. */
  PROXY_SCATTER,      /**< Delays it by a time that differs by connection and
                           direction. */
  PROXY_DROP,         /**< Drops it; connections stay open. */
  PROXY_DROP_REPLIES, /**< Drops only what the callee sends. */
  PROXY_RESET,        /**< Resets open connections once, then passes. */
  PROXY_SILENCE       /**< Open connections go silent for good and stay open;
                           then passes. */
} ProxyMode;

/** Starts the proxies' thread. */
void proxy_init (void);

/** Sets the seed of the delays of PROXY_SCATTER; before proxy_init(). */
void proxy_seed (uint32_t seed);

/**
 * Adds a proxy.
 * @param to address that it connects to
 * @param out receives the address that it listens on
 * @return number of the proxy
 */
unsigned int proxy_add (const char *to, char out[32]);

/** Sets a proxy's mode.
 *  @param ms the delay for PROXY_DELAY, the longest one for PROXY_SCATTER */
void proxy_set (unsigned int proxy, ProxyMode mode, int ms);

unsigned int proxy_count (void);

#endif
