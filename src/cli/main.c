/**
 * @file
 * The hibiscusspoke binary: runs the subcommand named by the first argument.
 */
#include <stdio.h>
#include <string.h>

#include "agent/agent.h"
#include "cli/cli.h"
#include "entry/core.h"

typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *summary;
} Command;

static void usage (FILE *out);

static const Command COMMANDS[] = {
  { "entry", hs_entry_main, "serve callers and operators" },
  { "agent", hs_agent_main, "run beside a target" },
  { "submit", hs_cli_submit_main, "submit, fetch or cancel a job" },
  { "plan", hs_cli_plan_main, "show and edit the customers' plans" },
  { "allowance", hs_cli_allowance_main,
    "show and edit the resource limits of plans" },
  { "status", hs_cli_status_main, "show the status of entries" },
  { "check", hs_cli_check_main, "check settings files" },
  { NULL, NULL, NULL },
};

int
main (int argc, char **argv)
{
  const Command *command;

  if (argc < 2)
    {
      usage (stderr);
      return 2;
    }
  if (strcmp (argv[1], "--help") == 0)
    {
      usage (stdout);
      return 0;
    }
  for (command = COMMANDS; command->name != NULL; command++)
    if (strcmp (command->name, argv[1]) == 0)
      return command->run (argc - 1, argv + 1);
  fprintf (stderr, "hibiscusspoke: unknown command '%s'; see --help\n",
           argv[1]);
  return 2;
}

static void
usage (FILE *out)
{
  const Command *command;

  fprintf (out, "usage: hibiscusspoke COMMAND [OPTION...]\n");
  for (command = COMMANDS; command->name != NULL; command++)
    fprintf (out, "  %-10s %s\n", command->name, command->summary);
}
