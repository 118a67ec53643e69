/**
 * @file
 * Structured log lines on standard output, one for each decision, made of
 * key=value pairs. Writing never blocks: lines above the rate limit, and lines
 * that the reader of standard output doesn't read in time, are dropped and
 * counted.
 */
#ifndef HS_BASE_EVENT_H
#define HS_BASE_EVENT_H

#include <stdint.h>

#include <glib.h>

/**
 * Sets the process name that each line carries, and makes standard output
 * non-blocking.
 */
void hs_event_init (const char *process);

/**
 * Writes "time=.. process=.. event=EVENT " followed by the pairs of @p format.
 * Untrusted values must have passed through hs_event_sanitise().
 */
void hs_event (const char *event, const char *format, ...) G_GNUC_PRINTF (2, 3);

/** Size of a sanitised value in bytes, with its terminating NUL. */
#define HS_EVENT_VALUE_SIZE 68

/**
 * Copies an untrusted value, truncated to fit, with each byte replaced by '_'
 * that could break the line: blanks, control and non-ASCII bytes, and '='.
 * @return @p out; "-" for an empty or NULL @p text
 */
const char *hs_event_sanitise (const char *text, char out[HS_EVENT_VALUE_SIZE]);

/** Returns how many lines have been dropped since the process started. */
uint64_t hs_event_lines_dropped (void);

#endif
