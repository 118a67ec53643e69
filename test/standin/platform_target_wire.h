/**
 * @file
 * Bodies of the calls to the stand-in for a target of the users' platform.
 */
#ifndef HS_STANDIN_PLATFORM_TARGET_WIRE_H
#define HS_STANDIN_PLATFORM_TARGET_WIRE_H

#include <json-c/json.h>
#include <talloc.h>

#include "direct/target.h"

/** The answer to a poll, with `started_ms` as the target's start.
 *  @return to be freed with talloc_free() */
char *hs_standin_format_list (const HsTargetList *list);

/** The answer to a start, a stop or a refused poll, and its HTTP status.
 *  @param clock_ms the target's clock
 *  @return to be freed with talloc_free() */
char *hs_standin_format_result (HsTargetResult result,
                                int64_t clock_ms,
                                unsigned int *status);

/** Reads the run and the fencing token that a call names. */
bool hs_standin_parse_run_key (struct json_object *root,
                               HsRunKey *key,
                               uint64_t *token);

#endif
