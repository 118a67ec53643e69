/**
 * @file
 * Arithmetic on amounts of a target's resources: processor, memory,
 * accelerators.
 */
#ifndef HS_DIRECT_RESOURCES_H
#define HS_DIRECT_RESOURCES_H

#include <stdbool.h>

#include "proto/hspoke.h"

/** Whether @p needs fits into @p available. */
bool hs_resources_fit (const hsx_room *available, const hsx_room *needs);

/** Adds @p n times @p needs. */
void hs_resources_add (hsx_room *resources, const hsx_room *needs, uint32_t n);

bool hs_resources_equal (const hsx_room *a, const hsx_room *b);

/** The smaller amount of each resource. */
hsx_room hs_resources_min (const hsx_room *a, const hsx_room *b);

/** Subtracts @p needs; no amount falls below zero. */
void hs_resources_subtract (hsx_room *resources, const hsx_room *needs);

#endif
