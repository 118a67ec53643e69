/* The fault matrix: runs the system with every fault at every step, each with
   several seeds, and checks its guarantees. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "checks.h"
#include "callers.h"
#include "mutants.h"
#include "operators.h"
#include "world.h"

#define SEEDS_PER_CELL 5
/** Runs with several random faults at random steps. */
#define MIXED_SEEDS 200
/** All jobs must be answered within this time after the last fault. */
#define ANSWER_TIMEOUT (45 * HS_SEC)
/** A run goes on for so long after the last answer, to detect late starts and
 *  edits. */
#define OBSERVATION_TIME (12 * HS_SEC)
#define SCENARIO_END (11 * HS_SEC)
/** Longer than a lease and longer than a promise. */
#define STORE_OUTAGE (6 * HS_SEC)
/** Connections that break in the row STEP_SETTLE. */
#define CONNECTION_BREAKS 10
#define CONNECTION_BREAK_PERIOD (HS_SEC / 2)
/** At most so many failed runs are described. */
#define PRINTED_FAILURES_MAX 60

typedef struct
{
  uint32_t runs;
  uint32_t runs_with_fault; /* Runs in which the fault was injected. */
  uint32_t failed;
  uint32_t faults_injected; /* Total of all runs. */
  uint64_t checks;
  uint64_t starts;
} Cell;

static gchar *step_option;
static gchar *fault_option;
static gint seed_option = -1;
static gint seeds_option = -1; /* Below 0: the default of the row. */
static gboolean trace_option;
static gchar *mutant_option;
static gboolean mutants_option;
static Cell cells[STEP_COUNT][FAULT_COUNT];
static Cell mixed;
static uint32_t n_printed_failures;

static const GOptionEntry OPTIONS[]
    = { { "step", 0, 0, G_OPTION_ARG_STRING, &step_option, "Run only this row",
          "STEP" },
        { "fault", 0, 0, G_OPTION_ARG_STRING, &fault_option,
          "Run only this column", "FAULT" },
        { "seed", 0, 0, G_OPTION_ARG_INT, &seed_option, "Run only this seed",
          "N" },
        { "seeds", 0, 0, G_OPTION_ARG_INT, &seeds_option,
          "Number of seeds per cell", "N" },
        { "trace", 0, 0, G_OPTION_ARG_NONE, &trace_option,
          "Print every message", NULL },
        { "mutant", 0, 0, G_OPTION_ARG_STRING, &mutant_option,
          "Run a faulty variant", "NAME" },
        { "mutants", 0, 0, G_OPTION_ARG_NONE, &mutants_option,
          "Run each faulty variant until a check fails", NULL },
        { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL } };

static void init_library_seeds (void);
static int run_matrix (void);
static int run_mutants (void);
static bool detect_mutant (Mutant mutant);
static void select_mutant_option (void);
static void run_cell (Step step, Fault fault);
static void run_mixed (void);
static int seeds_or_default (int usual);
static void run_seed (Step step, Fault fault, int seed, Cell *cell);
static bool run_once (Step step, Fault fault, int seed, bool at_first);
static bool is_armed (Step step);
static void finish_run (Cell *cell, Step step, Fault fault, int seed);
static void report_failure (Step step, Fault fault, int seed);
static void schedule_scenario (Step step);
static void schedule_step_scenario (Step step);
static void schedule_at (HsTime when, SimFunc func);
static void start_entry_2 (void *arg);
static void kill_entry_0 (void *arg);
static void leave_entry_1 (void *arg);
static void leave_agent_1 (void *arg);
static void leave_target_2 (void *arg);
static void rejoin_target_2 (void *arg);
static void break_next_start (void *arg);
static void stop_store (void *arg);
static void edit_allowance (void *arg);
static void print_table (void);
static void print_mixed (void);
static void print_excluded (void);

int
main (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new ("- run the fault matrix");
  GError *error = NULL;
  int status;

  g_option_context_add_main_entries (context, OPTIONS, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return 2;
    }
  g_option_context_free (context);
  rcu_register_thread ();
  init_library_seeds ();
  select_mutant_option ();
  status = mutants_option ? run_mutants () : run_matrix ();
  rcu_unregister_thread ();
  return status;
}

static int
run_matrix (void)
{
  uint32_t passed = 0;
  uint32_t failed = 0;
  Step step;
  Fault fault;

  for (step = 0; step < STEP_COUNT; step++)
    for (fault = 0; fault < FAULT_COUNT; fault++)
      if ((step_option == NULL || strcmp (step_option, step_name (step)) == 0)
          && (fault_option == NULL
              || strcmp (fault_option, fault_name (fault)) == 0))
        {
          run_cell (step, fault);
          passed += cells[step][fault].runs - cells[step][fault].failed;
          failed += cells[step][fault].failed;
        }
  if (fault_option == NULL
      && (step_option == NULL || strcmp (step_option, "mixed") == 0))
    run_mixed ();
  passed += mixed.runs - mixed.failed;
  failed += mixed.failed;
  print_table ();
  print_mixed ();
  if (step_option == NULL && fault_option == NULL)
    print_excluded ();
  printf ("%u passed, %u failed\n", passed, failed);
  return failed > 0 || passed == 0 ? 1 : 0;
}

static int
run_mutants (void)
{
  uint32_t n_detected = 0;
  Mutant mutant;

  for (mutant = MUTANT_NONE + 1; mutant < MUTANT_COUNT; mutant++)
    n_detected += detect_mutant (mutant);
  printf ("%u passed, %u failed\n", n_detected, MUTANT_COUNT - 1 - n_detected);
  return n_detected == MUTANT_COUNT - 1 ? 0 : 1;
}

/* Runs the whole matrix seed by seed until a check fails. */
static bool
detect_mutant (Mutant mutant)
{
  uint32_t runs = 0;
  int seed;
  Step step;
  Fault fault;

  mutant_select (mutant);
  for (seed = 1; seed <= seeds_or_default (SEEDS_PER_CELL); seed++)
    for (step = 0; step < STEP_COUNT; step++)
      for (fault = 0; fault < FAULT_COUNT; fault++)
        {
          uint32_t failures;

          if (fault_exclusion_reason (step, fault) != NULL)
            continue;
          runs++;
          run_once (step, fault, seed, true);
          failures = checks_violation_count ();
          world_end ();
          if (failures == 0)
            continue;
          printf ("mutant %-8s caught by --step %s --fault %s --seed %d, "
                  "run %u: %s\n",
                  mutant_name (mutant), step_name (step), fault_name (fault),
                  seed, runs, checks_violations[0]);
          return true;
        }
  printf ("mutant %-8s NOT caught in %u runs\n", mutant_name (mutant), runs);
  return false;
}

static void
select_mutant_option (void)
{
  Mutant mutant;

  for (mutant = 0; mutant_option != NULL && mutant < MUTANT_COUNT; mutant++)
    if (strcmp (mutant_option, mutant_name (mutant)) == 0)
      mutant_select (mutant);
}

/* json-c draws its hash seed at first use. This is done before the first run,
   so that it takes no random number from any run. */
static void
init_library_seeds (void)
{
  HsPlan plan;

  sim_begin (1, false);
  hs_plan_parse ("{\"plan\":\"counter\"}", "suva", &plan, NULL);
  sim_end ();
}

static void
run_cell (Step step, Fault fault)
{
  int most = seeds_or_default (SEEDS_PER_CELL);
  int seed;

  if (fault_exclusion_reason (step, fault) != NULL)
    return;
  if (seed_option >= 0)
    run_seed (step, fault, seed_option, &cells[step][fault]);
  for (seed = 1; seed_option < 0 && seed <= most; seed++)
    run_seed (step, fault, seed, &cells[step][fault]);
}

static void
run_mixed (void)
{
  int most = seeds_or_default (MIXED_SEEDS);
  int seed;

  if (seed_option >= 0)
    run_seed (STEP_MIXED, FAULT_NONE, seed_option, &mixed);
  for (seed = 1; seed_option < 0 && seed <= most; seed++)
    run_seed (STEP_MIXED, FAULT_NONE, seed, &mixed);
}

static int
seeds_or_default (int usual)
{
  return seeds_option >= 0 ? seeds_option : usual;
}

static void
run_seed (Step step, Fault fault, int seed, Cell *cell)
{
  if (!run_once (step, fault, seed, false))
    run_once (step, fault, seed, true);
  finish_run (cell, step, fault, seed);
}

/* Returns false, without the world, if the armed fault was not injected and
   nothing failed, so that the run tells nothing about the fault. */
static bool
run_once (Step step, Fault fault, int seed, bool at_first)
{
  uint64_t world_seed
      = (uint64_t) seed * 10007 + (uint64_t) step * 101 + (uint64_t) fault;
  HsTime end;
  Step armed;
  Fault armed_fault;
  uint32_t i;

  world_begin (world_seed, trace_option);
  if (step == STEP_MIXED)
    faults_begin_mixed (at_first);
  else
    faults_begin (step, fault, at_first);
  for (i = 0; i < WORLD_PROCS; i++)
    if ((step != STEP_HANDOVER && !is_armed (STEP_HANDOVER))
        || i != WORLD_ENTRIES - 1)
      world_start (&world.procs[i]);
  callers_begin ();
  schedule_scenario (step);
  sim_run (SCENARIO_END);
  end = world.faults_end_at + ANSWER_TIMEOUT;
  while (callers_open_jobs () > 0
         && sim_now () < MAX (end, SCENARIO_END + ANSWER_TIMEOUT))
    sim_run (sim_now () + HS_SEC);
  sim_run (MAX (sim_now (), world.faults_end_at) + OBSERVATION_TIME);
  callers_check ();
  if (!at_first && faults_injected_count () == 0
      && faults_get_armed (0, &armed, &armed_fault)
      && checks_violation_count () == 0)
    {
      world_end ();
      return false;
    }
  return true;
}

/* Whether a fault is armed at the step in this run. */
static bool
is_armed (Step step)
{
  Step armed;
  Fault fault;
  uint32_t i;

  for (i = 0; faults_get_armed (i, &armed, &fault); i++)
    if (armed == step)
      return true;
  return false;
}

static void
finish_run (Cell *cell, Step step, Fault fault, int seed)
{
  Step armed;
  Fault armed_fault;

  cell->runs++;
  cell->checks += checks_check_count ();
  cell->starts += checks_start_count ();
  cell->faults_injected += faults_injected_count ();
  if (faults_injected_count () > 0
      || !faults_get_armed (0, &armed, &armed_fault))
    cell->runs_with_fault++;
  if (checks_violation_count () > 0)
    cell->failed++;
  if (checks_violation_count () > 0
      && n_printed_failures++ < PRINTED_FAILURES_MAX)
    report_failure (step, fault, seed);
  world_end ();
}

static void
report_failure (Step step, Fault fault, int seed)
{
  Step armed;
  Fault armed_fault;
  uint32_t i;

  if (step == STEP_MIXED)
    printf ("FAILED --step mixed --seed %d: %u violations\n", seed,
            checks_violation_count ());
  else
    printf ("FAILED --step %s --fault %s --seed %d: %u violations\n",
            step_name (step), fault_name (fault), seed,
            checks_violation_count ());
  for (i = 0; step == STEP_MIXED && faults_get_armed (i, &armed, &armed_fault);
       i++)
    printf ("    armed: %s x %s\n", step_name (armed),
            fault_name (armed_fault));
  for (i = 0; i < MIN (checks_violation_count (), CHECKS_VIOLATIONS_MAX); i++)
    printf ("    %s\n", checks_violations[i]);
  fflush (stdout);
}

/* Schedules what makes the steps of a row happen. */
static void
schedule_scenario (Step step)
{
  HsTime first = FAULTS_WARM_UP + HS_SEC / 2;
  Step armed_step;

  schedule_at (first, edit_allowance);
  schedule_at (first + 2 * HS_SEC, edit_allowance);
  if (step != STEP_MIXED)
    {
      schedule_step_scenario (step);
      return;
    }
  for (armed_step = 0; armed_step < STEP_COUNT; armed_step++)
    if (is_armed (armed_step))
      schedule_step_scenario (armed_step);
}

static void
schedule_step_scenario (Step step)
{
  HsTime first = FAULTS_WARM_UP + HS_SEC / 2;
  uint32_t i;

  switch (step)
    {
    case STEP_TAKEOVER:
    case STEP_RECOVER:
      schedule_at (first, kill_entry_0);
      break;
    case STEP_HANDOVER:
      schedule_at (first, start_entry_2);
      schedule_at (first + 3 * HS_SEC, leave_entry_1);
      break;
    case STEP_PROMISE:
      schedule_at (first, stop_store);
      break;
    case STEP_SETTLE:
      for (i = 0; i < CONNECTION_BREAKS; i++)
        schedule_at (first + i * CONNECTION_BREAK_PERIOD, break_next_start);
      break;
    case STEP_ANNOUNCE:
    case STEP_LEAVE:
      schedule_at (first, leave_target_2);
      schedule_at (first + HS_SEC, leave_agent_1);
      schedule_at (first + 4 * HS_SEC, rejoin_target_2);
      schedule_at (first + 6 * HS_SEC, leave_target_2);
      break;
    case STEP_EDIT:
    case STEP_WATCH:
      schedule_at (first + HS_SEC, edit_allowance);
      schedule_at (first + 3 * HS_SEC, edit_allowance);
      break;
    default:
      break;
    }
}

static void
schedule_at (HsTime when, SimFunc func)
{
  sim_schedule (when + sim_random_time (0, HS_SEC / 2), NULL, func, NULL,
                false);
}

static void
start_entry_2 (void *arg)
{
  (void) arg;
  world_start (world_entry (2));
}

static void
kill_entry_0 (void *arg)
{
  (void) arg;
  world_kill (world_entry (0), sim_random (2) == 0);
  world_restart_later (world_entry (0), 5 * HS_SEC);
}

static void
leave_entry_1 (void *arg)
{
  (void) arg;
  world_stop_planned (world_entry (1));
}

static void
leave_agent_1 (void *arg)
{
  (void) arg;
  world_stop_planned (world_agent (1));
}

static void
leave_target_2 (void *arg)
{
  (void) arg;
  sim_schedule (sim_now (), world_agent (2), (SimFunc) target_leave,
                world_agent (2), false);
}

static void
rejoin_target_2 (void *arg)
{
  (void) arg;
  world_agent (2)->target.leaving = false;
  world_agent (2)->target.left_at = HS_NEVER;
}

static void
break_next_start (void *arg)
{
  (void) arg;
  faults_break_next_start ();
}

/* The outage lasts longer than a lease, so that entries must renew their leases
   by promises of other entries. */
static void
stop_store (void *arg)
{
  (void) arg;
  store_faults.down_until = sim_now () + STORE_OUTAGE;
  store_faults.hangs = sim_random (2) == 0;
  world_faults_last_until (store_faults.down_until + 2 * HS_SEC);
}

static void
edit_allowance (void *arg)
{
  (void) arg;
  operators_edit (sim_random (OPERATORS_PLANS),
                  world_entry (sim_random (WORLD_ENTRIES)));
}

static void
print_table (void)
{
  Step step;
  Fault fault;
  uint64_t checks = mixed.checks;
  uint64_t starts = mixed.starts;

  printf ("%-14s", "");
  for (fault = 0; fault < FAULT_COUNT; fault++)
    printf (" %3s", fault_short_name (fault));
  printf ("  runs  failed\n");
  for (step = 0; step < STEP_COUNT; step++)
    {
      uint32_t runs = 0;
      uint32_t failed = 0;

      printf ("%-14s", step_name (step));
      for (fault = 0; fault < FAULT_COUNT; fault++)
        {
          const Cell *cell = &cells[step][fault];

          runs += cell->runs;
          failed += cell->failed;
          checks += cell->checks;
          starts += cell->starts;
          if (cell->runs == 0)
            printf ("   .");
          else if (cell->failed > 0)
            printf ("  F%u", cell->failed);
          else if (cell->runs_with_fault == 0)
            printf ("   ?");
          else
            printf ("  %2u", cell->runs_with_fault);
        }
      printf ("  %4u  %6u\n", runs, failed);
    }
  printf ("marks:");
  for (fault = 0; fault < FAULT_COUNT; fault++)
    printf (" %s=%s", fault_short_name (fault), fault_name (fault));
  printf ("\nnumbers are seeds in which the fault was injected and no check "
          "failed; Fn: failed seeds; ?: never injected; .: can't occur\n");
  printf ("%" G_GUINT64_FORMAT " checks of %" G_GUINT64_FORMAT " starts\n",
          checks, starts);
}

static void
print_mixed (void)
{
  if (mixed.runs > 0)
    printf ("mixed: %u runs of %u faults, %u failed; %u faults injected, at "
            "least one in %u runs\n",
            mixed.runs, FAULTS_PER_MIXED_RUN, mixed.failed,
            mixed.faults_injected, mixed.runs_with_fault);
}

static void
print_excluded (void)
{
  Step step;
  Fault fault;

  for (step = 0; step < STEP_COUNT; step++)
    for (fault = 0; fault < FAULT_COUNT; fault++)
      if (fault_exclusion_reason (step, fault) != NULL)
        printf ("can't occur: %s x %s: %s\n", step_name (step),
                fault_name (fault), fault_exclusion_reason (step, fault));
}
