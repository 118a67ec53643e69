/**
 * @file
 * Structured log lines on standard output, one for each decision: key=value
 * pairs in one line. Lines are dropped, and counted, when they come too fast
 * or when nobody reads them; writing never blocks.
 */
#ifndef HS_BASE_EVENT_H
#define HS_BASE_EVENT_H

#include <stdint.h>

#include <glib.h>

/** Names this process in each line, and makes standard output non-blocking. */
void hs_event_init (const char *process);

/**
 * Writes "time=.. process=.. event=EVENT " and the pairs of @p format.
 * Values that come from outside go through hs_event_sanitise().
 */
void hs_event (const char *event, const char *format, ...) G_GNUC_PRINTF (2, 3);

/** Bytes of a value made safe, with its terminator. */
#define HS_EVENT_VALUE_SIZE 68

/** Copies a value from outside so that it can't break the line. */
const char *hs_event_sanitise (const char *text, char out[HS_EVENT_VALUE_SIZE]);

/** Lines dropped so far. */
uint64_t hs_event_lines_dropped (void);

#endif
