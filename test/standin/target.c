/**
 * @file
 * standin-target: the target of target_server.h as a program.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "target_server.h"

#define DEFAULT_TTL_MS 3000

static bool parse (int argc, char **argv, TargetOptions *options);
static void on_signal (struct tevent_context *ev,
                       struct tevent_signal *se,
                       int number,
                       int count,
                       void *info,
                       void *arg);

int
main (int argc, char **argv)
{
  TargetOptions options = { .listen = "127.0.0.1:0",
                            .slots = 8,
                            .memory_mb = 4096,
                            .ttl_ms = DEFAULT_TTL_MS,
                            .seed = 1 };
  struct tevent_context *ev = tevent_context_init (NULL);
  GError *error = NULL;
  Target *target;

  if (!parse (argc, argv, &options))
    return 2;
  signal (SIGPIPE, SIG_IGN);
  target = target_new (ev, ev, &options, &error);
  if (target == NULL)
    {
      fprintf (stderr, "standin-target: %s\n", error->message);
      return 1;
    }
  tevent_add_signal (ev, ev, SIGTERM, 0, on_signal, target);
  printf ("standin-target: port %u\n", target_port (target));
  fflush (stdout);
  while (!target_has_left (target) && tevent_loop_once (ev) == 0)
    continue;
  talloc_free (ev);
  return 0;
}

static bool
parse (int argc, char **argv, TargetOptions *options)
{
  int slots = (int) options->slots;
  int ttl_ms = (int) options->ttl_ms;
  int seed = (int) options->seed;
  char *fault = NULL;
  const GOptionEntry entries[] = {
    { "agent", 0, 0, G_OPTION_ARG_STRING, &options->agent,
      "The agent's local HTTP", "IP:PORT" },
    { "key", 0, 0, G_OPTION_ARG_STRING, &options->key, "Cluster key", "KEY" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &slots, "Number of tasks at once", "N" },
    { "listen", 0, 0, G_OPTION_ARG_STRING, &options->listen,
      "Address to listen on", "IP:PORT" },
    { "record", 0, 0, G_OPTION_ARG_FILENAME, &options->record,
      "Append starts and ends to FILE", "FILE" },
    { "fail-rate", 0, 0, G_OPTION_ARG_DOUBLE, &options->fail_rate,
      "Share of tasks that fail", "X" },
    { "straggle-rate", 0, 0, G_OPTION_ARG_DOUBLE, &options->straggle_rate,
      "Share of tasks that take ten times as long", "X" },
    { "ttl-ms", 0, 0, G_OPTION_ARG_INT, &ttl_ms, "Lifetime of an announcement",
      "MS" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the random faults", "N" },
    { "fault", 0, 0, G_OPTION_ARG_STRING, &fault,
      "Fault of every task: fail, slow, foreign, cut or twice", "FAULT" },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;
  bool ok;

  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, &argc, &argv, &error);
  g_option_context_free (context);
  if (!ok)
    fprintf (stderr, "standin-target: %s\n", error->message);
  options->slots = (uint32_t) slots;
  options->ttl_ms = (uint32_t) ttl_ms;
  options->seed = (uint32_t) seed;
  if (ok && (options->agent == NULL || options->key == NULL))
    {
      fprintf (stderr, "standin-target: need --agent and --key\n");
      ok = false;
    }
  if (ok && fault != NULL && !target_fault_parse (fault, &options->fault))
    {
      fprintf (stderr, "standin-target: unknown fault\n");
      ok = false;
    }
  g_free (fault);
  return ok;
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
  target_leave (arg);
}
