/**
 * @file
 * The message that tells of a crash of a target.
 */
#ifndef HS_DIRECT_CRASH_MESSAGE_H
#define HS_DIRECT_CRASH_MESSAGE_H

#include "direct/runs.h"

/** A message and the arrays that it refers to. */
typedef struct
{
  hsx_crash crash;
  hsx_crash_customer customers[HSX_CRASH_TASKS_MAX];
  hsx_crash_task tasks[HSX_CRASH_TASKS_MAX];
} HsCrashMessage;

/** Fills in what @p record tells; agent, host, service and pass_on are left to
 *  the caller. The message refers to strings of @p record. */
void hs_crash_message_fill (HsCrashMessage *message,
                            const HsCrash *record,
                            HsTime now);

#endif
