/**
 * @file
 * Finds out that a target has crashed: its calls broke, and then it refused a
 * connection. Pure: no I/O, time is an argument.
 */
#ifndef HS_AGENT_CRASH_WATCH_H
#define HS_AGENT_CRASH_WATCH_H

#include <stdbool.h>

#include <talloc.h>

#include "base/time.h"
#include "proto/hspoke.h"

typedef struct HsCrashWatch HsCrashWatch;

/** A crash and the customers that had tasks on the target. */
typedef struct
{
  hsx_crash crash;
  hsx_crash_customer customers[HSX_CRASH_TASKS_MAX];
} HsCrashReport;

HsCrashWatch *hs_crash_watch_new (TALLOC_CTX *ctx);

/** A task was started. */
void hs_crash_watch_started (HsCrashWatch *watch,
                             const char *customer,
                             const char *job,
                             HsTime now);

/** The call of a task broke off, without an answer. */
void hs_crash_watch_broken (HsCrashWatch *watch,
                            const char *customer,
                            HsTime started_at,
                            HsTime now);

/**
 * The target refused a connection.
 * @param report filled in but for the agent; refers to strings of @p watch,
 *        valid until the next call
 * @return false if no call broke off shortly before: the target was idle, or
 *         has ended as planned
 */
bool
hs_crash_watch_refused (HsCrashWatch *watch, HsCrashReport *report, HsTime now);

#endif
