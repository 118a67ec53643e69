/**
 * @file
 * Model of the load balancer in front of the entries: an entry that refused a
 * connection is skipped for a while, and the next one is tried at once. No I/O;
 * the time is an argument.
 */
#ifndef LOAD_BALANCER_H
#define LOAD_BALANCER_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

typedef struct Balancer Balancer;

Balancer *balancer_new (TALLOC_CTX *ctx, uint32_t n_entries);

/** Records that an entry refused a connection. */
void
balancer_connection_refused (Balancer *balancer, uint32_t entry, HsTime now);

/** Returns whether an entry is left that is not skipped. */
bool balancer_has_usable_entry (const Balancer *balancer, HsTime now);

/**
 * Returns the first entry that is not skipped, from @p preferred on in turn; if
 * all are skipped, @p preferred modulo the number of entries.
 */
uint32_t
balancer_pick (const Balancer *balancer, uint32_t preferred, HsTime now);

#endif
