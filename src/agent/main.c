#include <signal.h>
#include <stdio.h>

#include "agent/agent.h"
#include "base/log.h"
#include "direct/agent.h"

static bool parse_options (int argc, char **argv, char **file, char **platform);
static int run (const HsSettings *settings);
static void on_signal (struct tevent_context *ev,
                       struct tevent_signal *se,
                       int number,
                       int count,
                       void *info,
                       void *arg);

int
hs_agent_main (int argc, char **argv)
{
  g_autofree char *file = NULL;
  g_autofree char *platform = NULL;
  g_autoptr (GError) error = NULL;
  HsSettings *settings;
  int status;

  if (!parse_options (argc, argv, &file, &platform))
    return 2;
  if (platform != NULL)
    return hs_direct_agent_run (platform);
  settings = hs_settings_load (NULL, file, &error);
  if (settings == NULL)
    {
      fprintf (stderr, "hibiscusspoke agent: %s\n", error->message);
      return 2;
    }
  if (settings->role != HS_ROLE_AGENT)
    {
      fprintf (stderr,
               "hibiscusspoke agent: %s: role: not \"agent\"; use the settings "
               "of an agent\n",
               file);
      talloc_free (settings);
      return 2;
    }
  hs_log_init (settings->log_format, settings->log_level);
  status = run (settings);
  talloc_free (settings);
  return status;
}

static bool
parse_options (int argc, char **argv, char **file, char **platform)
{
  const GOptionEntry options[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, file,
      "Read the settings from FILE", "FILE" },
    { "platform", 'p', 0, G_OPTION_ARG_FILENAME, platform,
      "Run on the users' platform, with the settings it renders", "FILE" },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;
  bool ok;

  g_option_context_set_summary (
      context, "Runs on the host of a target and starts tasks on it.");
  g_option_context_add_main_entries (context, options, NULL);
  ok = g_option_context_parse (context, &argc, &argv, &error);
  g_option_context_free (context);
  if (!ok)
    fprintf (stderr, "hibiscusspoke agent: %s; see --help\n", error->message);
  else if (*file == NULL && *platform == NULL)
    {
      fprintf (stderr, "hibiscusspoke agent: no settings; pass --settings\n");
      ok = false;
    }
  return ok;
}

static int
run (const HsSettings *settings)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  g_autoptr (GError) error = NULL;
  HsAgent *agent = hs_agent_new (ev, ev, settings, &error);

  if (agent == NULL)
    {
      fprintf (stderr, "hibiscusspoke agent: %s\n", error->message);
      talloc_free (ev);
      return 1;
    }
  signal (SIGPIPE, SIG_IGN);
  tevent_add_signal (ev, ev, SIGTERM, 0, on_signal, agent);
  tevent_add_signal (ev, ev, SIGINT, 0, on_signal, agent);
  while (!hs_agent_has_left (agent))
    if (tevent_loop_once (ev) != 0)
      break;
  talloc_free (agent);
  talloc_free (ev);
  return 0;
}

static void
on_signal (struct tevent_context *ev,
           struct tevent_signal *se,
           int number,
           int count,
           void *info,
           void *arg)
{
  (void) ev;
  (void) se;
  (void) number;
  (void) count;
  (void) info;
  hs_agent_leave (arg);
}
