/**
 * @file
 * What the platform's balancer does for callers: an entry that has refused a
 * connection is passed over for a while, and the next one is tried at once.
 * Pure: time is an argument.
 */
#ifndef LOAD_BALANCER_H
#define LOAD_BALANCER_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

typedef struct Balancer Balancer;

Balancer *balancer_new (TALLOC_CTX *ctx, uint32_t n_entries);

/** Notes that an entry refused a connection. */
void
balancer_connection_refused (Balancer *balancer, uint32_t entry, HsTime now);

/** Whether an entry is left that isn't passed over. */
bool balancer_has_usable_entry (const Balancer *balancer, HsTime now);

/** The first from @p wanted on that isn't passed over, else @p wanted. */
uint32_t
balancer_pick (const Balancer *balancer, uint32_t preferred, HsTime now);

#endif
