/**
 * @file
 * Amounts of a target's room: processor, memory, accelerators.
 */
#ifndef HS_DIRECT_RESOURCES_H
#define HS_DIRECT_RESOURCES_H

#include <stdbool.h>

#include "proto/hspoke.h"

/** Whether @p needs fits into @p available. */
bool hs_resources_fit (const hsx_room *available, const hsx_room *needs);

/** Adds @p n times @p needs. */
void hs_resources_add (hsx_room *resources, const hsx_room *needs, uint32_t n);

/** Takes @p needs away; what isn't there is taken as nothing. */
void hs_resources_subtract (hsx_room *resources, const hsx_room *needs);

#endif
