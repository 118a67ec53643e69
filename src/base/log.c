#include "base/log.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <json-c/json.h>

static HsLogFormat log_format = HS_LOG_TEXT;
static GLogLevelFlags log_level = G_LOG_LEVEL_INFO;

static GLogWriterOutput write_log_line (GLogLevelFlags level,
                                        const GLogField *fields,
                                        gsize n_fields,
                                        gpointer user_data);

void
hs_log_init (HsLogFormat format, GLogLevelFlags level)
{
  log_format = format;
  log_level = level;
  g_log_set_writer_func (write_log_line, NULL, NULL);
}

void
hs_log (GLogLevelFlags level, const char *part, const char *format, ...)
{
  char message[1024];
  va_list args;

  if (level > log_level)
    return;
  va_start (args, format);
  g_vsnprintf (message, sizeof message, format, args);
  va_end (args);
  g_log_structured ("hibiscusspoke", level, "HS_PART", part, "MESSAGE", "%s",
                    message);
}

static const char *
level_name (GLogLevelFlags level)
{
  switch (level & G_LOG_LEVEL_MASK)
    {
    case G_LOG_LEVEL_ERROR:
    case G_LOG_LEVEL_CRITICAL:
      return "error";
    case G_LOG_LEVEL_WARNING:
      return "warning";
    case G_LOG_LEVEL_DEBUG:
      return "debug";
    default:
      return "info";
    }
}

static void
print_json (const char *time,
            GLogLevelFlags level,
            const char *part,
            const char *message)
{
  struct json_object *line = json_object_new_object ();

  json_object_object_add (line, "time", json_object_new_string (time));
  json_object_object_add (line, "level",
                          json_object_new_string (level_name (level)));
  json_object_object_add (line, "part", json_object_new_string (part));
  json_object_object_add (line, "message", json_object_new_string (message));
  fprintf (stderr, "%s\n",
           json_object_to_json_string_ext (line, JSON_C_TO_STRING_PLAIN));
  json_object_put (line);
}

static GLogWriterOutput
write_log_line (GLogLevelFlags level,
                const GLogField *fields,
                gsize n_fields,
                gpointer user_data)
{
  const char *part = "glib";
  const char *message = "";
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *time = g_date_time_format_iso8601 (now);
  gsize i;

  (void) user_data;
  if ((level & G_LOG_LEVEL_MASK) > log_level)
    return G_LOG_WRITER_HANDLED;
  for (i = 0; i < n_fields; i++)
    {
      if (strcmp (fields[i].key, "HS_PART") == 0)
        part = fields[i].value;
      else if (strcmp (fields[i].key, "MESSAGE") == 0)
        message = fields[i].value;
    }
  if (log_format == HS_LOG_JSON)
    print_json (time, level, part, message);
  else
    fprintf (stderr, "%s %s %s: %s\n", time, level_name (level), part, message);
  return G_LOG_WRITER_HANDLED;
}
