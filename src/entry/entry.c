/**
 * @file
 * The subcommand `entry`: loads the settings and runs the core's event loop
 * until a planned stop is complete.
 */
#include <signal.h>
#include <stdio.h>

#include <curl/curl.h>
#include <urcu.h>

#include "direct/entry.h"
#include "entry/core.h"

static void on_stop_signal (struct tevent_context *ev,
                            struct tevent_signal *event,
                            int signum,
                            int count,
                            void *siginfo,
                            void *arg);
static int run (const HsSettings *settings);

int
hs_entry_main (int argc, char **argv)
{
  g_autofree char *path = NULL;
  g_autofree char *platform = NULL;
  g_autoptr (GError) error = NULL;
  GOptionEntry options[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
      "Settings file of this entry", "FILE" },
    { "platform", 'p', 0, G_OPTION_ARG_FILENAME, &platform,
      "Run on the users' platform, with settings that it renders", "FILE" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- serve callers and operators");
  HsSettings *settings;
  int status;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "hibiscusspoke entry: %s\n", error->message);
      return 2;
    }
  if (platform != NULL)
    return hs_direct_entry_run (platform);
  if (path == NULL)
    {
      fprintf (stderr, "hibiscusspoke entry: no settings; give --settings\n");
      return 2;
    }
  settings = hs_settings_load (NULL, path, &error);
  if (settings == NULL)
    {
      fprintf (stderr, "hibiscusspoke entry: %s\n", error->message);
      return 2;
    }
  if (settings->role != HS_ROLE_ENTRY)
    {
      fprintf (stderr, "hibiscusspoke entry: %s: role is not \"entry\"\n",
               path);
      talloc_free (settings);
      return 2;
    }
  hs_log_init (settings->log_format, settings->log_level);
  status = run (settings);
  talloc_free (settings);
  return status;
}

static int
run (const HsSettings *settings)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  g_autoptr (GError) error = NULL;
  HsCore *core;
  int status = 0;

  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  rcu_register_thread ();
  core = hs_core_new (ev, ev, settings, &error);
  if (core == NULL)
    {
      fprintf (stderr, "hibiscusspoke entry: %s\n", error->message);
      status = 1;
    }
  else
    {
      tevent_add_signal (ev, core, SIGTERM, 0, on_stop_signal, core);
      tevent_add_signal (ev, core, SIGINT, 0, on_stop_signal, core);
      while (!core->finished)
        tevent_loop_once (ev);
    }
  talloc_free (ev);
  rcu_unregister_thread ();
  curl_global_cleanup ();
  return status;
}

static void
on_stop_signal (struct tevent_context *ev,
                struct tevent_signal *event,
                int signum,
                int count,
                void *siginfo,
                void *arg)
{
  (void) ev;
  (void) event;
  (void) signum;
  (void) count;
  (void) siginfo;
  hs_core_leave (arg);
}
