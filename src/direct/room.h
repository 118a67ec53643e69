/**
 * @file
 * Amounts of a target's room: processor, memory, accelerators.
 */
#ifndef HS_DIRECT_ROOM_H
#define HS_DIRECT_ROOM_H

#include <stdbool.h>

#include "proto/hspoke.h"

/** Whether @p needs fits into @p room. */
bool hs_room_fits (const hsx_room *room, const hsx_room *needs);

/** Adds @p n times @p needs. */
void hs_room_add (hsx_room *room, const hsx_room *needs, uint32_t n);

/** Takes @p needs away; what isn't there is taken as nothing. */
void hs_room_take (hsx_room *room, const hsx_room *needs);

#endif
