/**
 * @file
 * Runs the fuzzers with fixed seeds, each seed in its own process, and prints
 * "N passed, N failed" at the end. A failure is reported with the options that
 * reproduce it, and its input is saved.
 */
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fuzz.h"
#include "mutate.h"

#define PROCESSES_MAX 16
/** A process that runs longer is considered hung; far above the time that any
 *  seed takes. */
#define SEED_TIMEOUT_S 300

/** A process that runs one seed on a surface. */
typedef struct
{
  const HsFuzzSurface *surface;
  GPtrArray *corpus;
  uint64_t seed;
  pid_t pid;     /**< 0: the slot is free. */
  uint64_t *run; /**< The current run, in memory shared with the process. */
} Job;

typedef struct
{
  char *corpus;
  char *save;
  char *surface;
  char *input;
  gint64 seed;
  gint64 seeds;
  gint64 runs;
  gint64 run;
  gint processes;
  gboolean endless;
  Job jobs[PROCESSES_MAX];
  GPtrArray *corpora[16];
  uint64_t passed;
  uint64_t failed;
} Driver;

static volatile sig_atomic_t stopping;

static bool read_options (Driver *driver, int argc, char **argv);
static bool read_corpora (Driver *driver);
static void free_driver (Driver *driver);
static int run_all (Driver *driver);
static int run_input (const Driver *driver);
static int run_one (const Driver *driver);
static void run_seeds (Driver *driver, uint64_t seed);
static void start_seed (Driver *driver, int surface, uint64_t seed);
static void reap_process (Driver *driver);
static void report_failure (Driver *driver, const Job *job, int status);

static void
on_stop (int signal)
{
  (void) signal;
  stopping = 1;
}

int
main (int argc, char **argv)
{
  Driver driver = { .seed = 1, .seeds = 4, .runs = 20000, .run = -1 };
  int status = 2;

  if (!read_options (&driver, argc, argv))
    status = 2;
  else if (driver.input != NULL)
    status = run_input (&driver);
  else if (read_corpora (&driver))
    status = driver.run >= 0 ? run_one (&driver) : run_all (&driver);
  free_driver (&driver);
  return status;
}

static bool
read_options (Driver *driver, int argc, char **argv)
{
  const GOptionEntry entries[] = {
    { "corpus", 0, 0, G_OPTION_ARG_FILENAME, &driver->corpus,
      "Folder with a corpus folder for each surface", "DIR" },
    { "save", 0, 0, G_OPTION_ARG_FILENAME, &driver->save,
      "Folder for failing inputs", "DIR" },
    { "surface", 0, 0, G_OPTION_ARG_STRING, &driver->surface,
      "Only this surface", "NAME" },
    { "input", 0, 0, G_OPTION_ARG_FILENAME, &driver->input,
      "Run only this file", "FILE" },
    { "seed", 0, 0, G_OPTION_ARG_INT64, &driver->seed, "First seed", "N" },
    { "seeds", 0, 0, G_OPTION_ARG_INT64, &driver->seeds, "Number of seeds",
      "N" },
    { "runs", 0, 0, G_OPTION_ARG_INT64, &driver->runs, "Runs per seed", "N" },
    { "run", 0, 0, G_OPTION_ARG_INT64, &driver->run, "Only this run", "N" },
    { "processes", 0, 0, G_OPTION_ARG_INT, &driver->processes,
      "Number of processes; default: one per processor", "N" },
    { "endless", 0, 0, G_OPTION_ARG_NONE, &driver->endless,
      "Continue with new seeds until stopped", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;
  long processors = sysconf (_SC_NPROCESSORS_ONLN);

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    fprintf (stderr, "hs-fuzz: %s\n", error->message);
  else if (driver->surface != NULL && hs_fuzz_surface (driver->surface) == NULL)
    fprintf (stderr, "hs-fuzz: unknown surface %s\n", driver->surface);
  else if ((driver->input != NULL || driver->run >= 0)
           && driver->surface == NULL)
    fprintf (stderr, "hs-fuzz: one input needs --surface NAME\n");
  else if (driver->corpus == NULL && driver->input == NULL)
    fprintf (stderr, "hs-fuzz: need --corpus DIR\n");
  else
    {
      if (driver->processes <= 0)
        driver->processes = (gint) processors;
      driver->processes = CLAMP (driver->processes, 1, PROCESSES_MAX);
      return true;
    }
  return false;
}

static bool
read_corpora (Driver *driver)
{
  size_t i;

  for (i = 0; HS_FUZZ_SURFACES[i].name != NULL; i++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *folder
          = g_build_filename (driver->corpus, HS_FUZZ_SURFACES[i].name, NULL);

      g_assert (i < G_N_ELEMENTS (driver->corpora));
      driver->corpora[i] = hs_fuzz_corpus_read (folder, &error);
      if (driver->corpora[i] == NULL || driver->corpora[i]->len == 0)
        {
          fprintf (stderr, "hs-fuzz: %s: %s\n", folder,
                   error != NULL ? error->message
                                 : "no inputs; add at least one");
          return false;
        }
    }
  return true;
}

static void
free_driver (Driver *driver)
{
  size_t i;

  g_free (driver->corpus);
  g_free (driver->save);
  g_free (driver->surface);
  g_free (driver->input);
  for (i = 0; i < G_N_ELEMENTS (driver->corpora); i++)
    if (driver->corpora[i] != NULL)
      g_ptr_array_unref (driver->corpora[i]);
}

static int
run_all (Driver *driver)
{
  uint64_t round;
  int i;

  for (i = 0; i < PROCESSES_MAX; i++)
    driver->jobs[i].run = mmap (NULL, sizeof (uint64_t), PROT_READ | PROT_WRITE,
                                MAP_SHARED | MAP_ANONYMOUS, -1, 0);
  signal (SIGINT, on_stop);
  signal (SIGTERM, on_stop);
  for (round = 0;
       !stopping && (driver->endless || round < (uint64_t) driver->seeds);
       round++)
    run_seeds (driver, (uint64_t) driver->seed + round);
  for (i = 0; i < driver->processes; i++)
    while (driver->jobs[i].pid != 0)
      reap_process (driver);
  printf ("%" G_GUINT64_FORMAT " passed, %" G_GUINT64_FORMAT " failed\n",
          driver->passed, driver->failed);
  return driver->failed == 0 && driver->passed > 0 ? 0 : 1;
}

static int
run_input (const Driver *driver)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  uint8_t *data;
  gsize n;

  if (!g_file_get_contents (driver->input, &text, &n, &error))
    {
      fprintf (stderr, "hs-fuzz: %s\n", error->message);
      return 2;
    }
  /* A copy without the NUL byte that GLib adds, so that ASan detects reads
     past the end. */
  data = malloc (n > 0 ? n : 1);
  memcpy (data, text, n);
  hs_fuzz_surface (driver->surface)->run (data, n);
  free (data);
  return 0;
}

/** Runs one input, in an allocation of exactly its size so that ASan detects
 *  reads past the end. */
static void
run_once (const HsFuzzSurface *surface,
          const GPtrArray *corpus,
          uint64_t seed,
          uint64_t run)
{
  GByteArray *bytes = hs_fuzz_mutate (corpus, seed, run);
  uint8_t *data = malloc (bytes->len > 0 ? bytes->len : 1);
  size_t n = bytes->len;

  if (n > 0)
    memcpy (data, bytes->data, n);
  g_byte_array_unref (bytes);
  surface->run (data, n);
  free (data);
}

static int
run_one (const Driver *driver)
{
  const HsFuzzSurface *surface = hs_fuzz_surface (driver->surface);

  run_once (surface, driver->corpora[surface - HS_FUZZ_SURFACES],
            (uint64_t) driver->seed, (uint64_t) driver->run);
  return 0;
}

static void
run_seeds (Driver *driver, uint64_t seed)
{
  int i;

  for (i = 0; HS_FUZZ_SURFACES[i].name != NULL && !stopping; i++)
    if (driver->surface == NULL
        || strcmp (driver->surface, HS_FUZZ_SURFACES[i].name) == 0)
      start_seed (driver, i, seed);
}

static Job *
free_job_slot (Driver *driver)
{
  int i;

  for (i = 0; i < driver->processes; i++)
    if (driver->jobs[i].pid == 0)
      return &driver->jobs[i];
  return NULL;
}

static void
start_seed (Driver *driver, int surface, uint64_t seed)
{
  Job *job;
  uint64_t run;

  while ((job = free_job_slot (driver)) == NULL)
    reap_process (driver);
  job->surface = &HS_FUZZ_SURFACES[surface];
  job->corpus = driver->corpora[surface];
  job->seed = seed;
  *job->run = 0;
  fflush (stdout);
  job->pid = fork ();
  if (job->pid != 0)
    return;
  signal (SIGINT, SIG_DFL);
  signal (SIGTERM, SIG_DFL);
  alarm (SEED_TIMEOUT_S);
  for (run = 0; run < (uint64_t) driver->runs; run++)
    {
      *job->run = run;
      run_once (job->surface, job->corpus, seed, run);
    }
  exit (0);
}

static void
reap_process (Driver *driver)
{
  int status;
  pid_t pid = waitpid (-1, &status, 0);
  int i;

  for (i = 0; pid > 0 && i < driver->processes; i++)
    if (driver->jobs[i].pid == pid)
      {
        driver->jobs[i].pid = 0;
        if (WIFEXITED (status) && WEXITSTATUS (status) == 0)
          driver->passed++;
        else if (!stopping)
          report_failure (driver, &driver->jobs[i], status);
      }
}

static void
report_failure (Driver *driver, const Job *job, int status)
{
  g_autofree char *name
      = g_strdup_printf ("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                         job->surface->name, job->seed, *job->run);
  GByteArray *bytes = hs_fuzz_mutate (job->corpus, job->seed, *job->run);
  g_autofree char *path = NULL;

  driver->failed++;
  printf ("FAILED: %s (status 0x%x); reproduce with: --surface %s"
          " --seed %" G_GUINT64_FORMAT " --run %" G_GUINT64_FORMAT "\n",
          job->surface->name, (unsigned int) status, job->surface->name,
          job->seed, *job->run);
  if (driver->save != NULL && g_mkdir_with_parents (driver->save, 0755) == 0)
    {
      path = g_build_filename (driver->save, name, NULL);
      if (g_file_set_contents (path, (const char *) bytes->data, bytes->len,
                               NULL))
        printf ("  input: %s\n", path);
    }
  g_byte_array_unref (bytes);
}
