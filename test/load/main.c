/* The load generator: "hs-load run" submits jobs, "hs-load verify" compares
   their answers with the records of the targets. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "client.h"
#include "report.h"
#include "verify.h"

typedef struct
{
  Scenario scenario;
  char *sizes;
  char *run_ms;
  char *jobs;
} RunOptions;

static int run_command (int argc, char **argv);
static bool parse_options (int argc, char **argv, RunOptions *options);
static const char *finish_options (RunOptions *options);
static int run_scenario (const RunOptions *options, FILE *jobs);

int
main (int argc, char **argv)
{
  if (argc > 1 && strcmp (argv[1], "run") == 0)
    return run_command (argc - 1, argv + 1);
  if (argc > 1 && strcmp (argv[1], "verify") == 0)
    return verify_main (argc - 1, argv + 1);
  fprintf (stderr, "usage: hs-load run|verify [--help] [OPTION...]\n");
  return 2;
}

static int
run_command (int argc, char **argv)
{
  RunOptions options = { .scenario = { .seconds = 10,
                                       .jobs_per_s = 10,
                                       .seed = 1,
                                       .slots = 88,
                                       .timeout_ms = 30000 } };
  const char *message;
  FILE *jobs;

  if (!parse_options (argc, argv, &options))
    return 2;
  message = finish_options (&options);
  if (message != NULL)
    {
      fprintf (stderr, "hs-load: %s\n", message);
      return 2;
    }
  jobs = fopen (options.jobs != NULL ? options.jobs : "/dev/null", "we");
  if (jobs == NULL)
    {
      perror (options.jobs);
      return 1;
    }
  signal (SIGPIPE, SIG_IGN);
  return run_scenario (&options, jobs);
}

static int
run_scenario (const RunOptions *options, FILE *jobs)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  ClientRun *client = client_run (ev, ev, &options->scenario);
  struct json_object *summary = report_summary (client);
  bool ok = report_jobs (client, jobs);

  printf ("%s\n",
          json_object_to_json_string_ext (summary, JSON_C_TO_STRING_PLAIN));
  if (fclose (jobs) != 0 || !ok)
    {
      fprintf (stderr, "hs-load: error writing --jobs\n");
      return 1;
    }
  return 0;
}

static bool
parse_options (int argc, char **argv, RunOptions *options)
{
  Scenario *scenario = &options->scenario;
  int seed = (int) scenario->seed;
  int slots = (int) scenario->slots;
  int timeout_ms = (int) scenario->timeout_ms;
  gboolean fresh = FALSE;
  const GOptionEntry entries[] = {
    { "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &scenario->entries,
      "Submit to this entry; repeatable", "URL" },
    { "customer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &scenario->customers,
      "Submit for this customer; repeatable", "NAME:KEY" },
    { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &scenario->jobs_per_s,
      "Jobs per second", "X" },
    { "tasks-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &scenario->tasks_per_s,
      "Tasks per second, in place of --rate", "X" },
    { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &scenario->seconds,
      "Time during which jobs arrive", "X" },
    { "sizes", 0, 0, G_OPTION_ARG_STRING, &options->sizes,
      "Numbers of tasks per job, with their shares", "N:SHARE,..." },
    { "run-ms", 0, 0, G_OPTION_ARG_STRING, &options->run_ms,
      "Run times of tasks, log-uniform", "MIN-MAX" },
    { "resubmit", 0, 0, G_OPTION_ARG_DOUBLE, &scenario->resubmit_share,
      "Share of jobs submitted again to another entry", "X" },
    { "cancel", 0, 0, G_OPTION_ARG_DOUBLE, &scenario->cancel_share,
      "Share of jobs that are cancelled", "X" },
    { "opaque", 0, 0, G_OPTION_ARG_DOUBLE, &scenario->opaque_share,
      "Share of jobs whose id is not a UUIDv7", "X" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the random jobs", "N" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &slots, "Number of slots for the ideal",
      "N" },
    { "timeout-ms", 0, 0, G_OPTION_ARG_INT, &timeout_ms,
      "Maximum time of one attempt", "N" },
    { "fresh", 0, 0, G_OPTION_ARG_NONE, &fresh,
      "Open a connection for each request", NULL },
    { "jobs", 0, 0, G_OPTION_ARG_FILENAME, &options->jobs,
      "Write each job with its answers to FILE", "FILE" },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;
  bool ok;

  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, &argc, &argv, &error);
  g_option_context_free (context);
  if (!ok)
    fprintf (stderr, "hs-load: %s\n", error->message);
  scenario->seed = (uint32_t) seed;
  scenario->slots = (uint32_t) MAX (slots, 1);
  scenario->timeout_ms = (uint32_t) timeout_ms;
  scenario->fresh_connections = fresh;
  return ok;
}

/**
 * Fills in defaults. @return an error message, or NULL if the options are valid
 */
static const char *
finish_options (RunOptions *options)
{
  Scenario *scenario = &options->scenario;
  size_t i;

  if (scenario->entries == NULL)
    return "at least one --entry URL is required";
  if (scenario->customers == NULL)
    return "at least one --customer NAME:KEY is required";
  for (i = 0; scenario->customers[i] != NULL; i++)
    if (strchr (scenario->customers[i], ':') == NULL)
      return "--customer must be NAME:KEY";
  if (!scenario_parse_sizes (scenario,
                             options->sizes != NULL ? options->sizes : "1:1"))
    return "--sizes must be N:SHARE,...";
  if (!scenario_parse_run_ms (
          scenario, options->run_ms != NULL ? options->run_ms : "50-1000"))
    return "--run-ms must be MIN-MAX";
  if (scenario->jobs_per_s <= 0 && scenario->tasks_per_s <= 0)
    return "--rate or --tasks-per-s must be positive";
  return NULL;
}
