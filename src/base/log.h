/**
 * @file
 * Logging through GLib's structured log. The lines of each component have a
 * fixed prefix, such as "agent: target announced, 8 slots".
 */
#ifndef HS_BASE_LOG_H
#define HS_BASE_LOG_H

#include <glib.h>

/** Format of the lines on standard error. */
typedef enum
{
  HS_LOG_TEXT,
  HS_LOG_JSON
} HsLogFormat;

/**
 * Installs the log writer of the process. Call once, before any thread starts.
 * @param format plain text, or one JSON object per line
 * @param level the least severe level that is written, such as
 *              G_LOG_LEVEL_INFO
 */
void hs_log_init (HsLogFormat format, GLogLevelFlags level);

/** Writes one line; @p part is the name of the component, used as prefix. */
void hs_log (GLogLevelFlags level, const char *part, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

#define hs_info(part, ...) hs_log (G_LOG_LEVEL_INFO, part, __VA_ARGS__)
#define hs_warn(part, ...) hs_log (G_LOG_LEVEL_WARNING, part, __VA_ARGS__)
#define hs_debug(part, ...) hs_log (G_LOG_LEVEL_DEBUG, part, __VA_ARGS__)

#endif
