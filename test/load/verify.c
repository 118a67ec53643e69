#include "verify.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "answer.h"
#include "base/time.h"

#define MAX_PLANNED_ENTRIES 64

/* Records of all targets about one task. */
typedef struct
{
  HsTime first_start;
  uint32_t n_starts;
  uint32_t n_ends;
  uint32_t n_unfinished_planned; /* Starts, on targets that were stopped
                                    gracefully, that have not ended. */
  bool submitted;
} TaskRecord;

struct Verify
{
  GHashTable *tasks; /* By "CUSTOMER/ID/INDEX"; of TaskRecord. */
  VerifyCounts counts;
  GString *findings;
};

/* A job of the file of jobs. */
typedef struct
{
  const char *customer;
  const char *id;
  uint32_t n_tasks;
  struct json_object *sends;
  struct json_object *events;
} Job;

static void
add_record_line (Verify *verify, const char *const *fields, bool planned);
static void
check_request (Verify *verify, const Job *job, struct json_object *s);
static void check_failed_attempt (Verify *verify,
                                  const Job *job,
                                  struct json_object *event,
                                  const int *planned_entries,
                                  size_t n_planned);
static void check_refused_job (Verify *verify, const Job *job);
static TaskRecord *find_record (Verify *verify, const Job *job, uint32_t index);
static void add_finding (Verify *verify,
                         uint64_t *counter,
                         const char *what,
                         const char *key);

Verify *
verify_new (void)
{
  Verify *verify = g_new0 (Verify, 1);

  verify->tasks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  verify->findings = g_string_new (NULL);
  return verify;
}

void
verify_free (Verify *verify)
{
  g_hash_table_unref (verify->tasks);
  g_string_free (verify->findings, TRUE);
  g_free (verify);
}

void
verify_add_record (Verify *verify, const char *text, bool planned)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  size_t i;

  for (i = 0; lines[i] != NULL; i++)
    {
      g_auto (GStrv) fields = g_strsplit (lines[i], " ", 3);

      if (g_strv_length (fields) == 3)
        add_record_line (verify, (const char *const *) fields, planned);
    }
}

static void
add_record_line (Verify *verify, const char *const *fields, bool planned)
{
  TaskRecord *record = g_hash_table_lookup (verify->tasks, fields[1]);

  if (record == NULL)
    {
      record = g_new0 (TaskRecord, 1);
      record->first_start = HS_NEVER;
      g_hash_table_insert (verify->tasks, g_strdup (fields[1]), record);
    }
  if (strcmp (fields[0], "start") == 0)
    {
      record->first_start
          = MIN (record->first_start, g_ascii_strtoll (fields[2], NULL, 10));
      record->n_starts++;
      record->n_unfinished_planned += planned ? 1 : 0;
      return;
    }
  record->n_ends++;
  if (planned && record->n_unfinished_planned > 0)
    record->n_unfinished_planned--;
}

static bool
read_string (struct json_object *object, const char *key, const char **value)
{
  struct json_object *member;

  if (!json_object_object_get_ex (object, key, &member)
      || !json_object_is_type (member, json_type_string))
    return false;
  *value = json_object_get_string (member);
  return true;
}

static bool
read_array (struct json_object *object, const char *key, struct json_object **v)
{
  return json_object_object_get_ex (object, key, v)
         && json_object_is_type (*v, json_type_array);
}

bool
verify_add_job (Verify *verify,
                const char *line,
                const int *planned_entries,
                size_t n_planned)
{
  struct json_object *root = json_tokener_parse (line);
  struct json_object *run_ms;
  Job job;
  uint32_t i;
  bool ok = read_string (root, "customer", &job.customer)
            && read_string (root, "id", &job.id)
            && read_array (root, "run_ms", &run_ms)
            && read_array (root, "sends", &job.sends)
            && read_array (root, "events", &job.events);

  if (ok)
    {
      job.n_tasks = (uint32_t) json_object_array_length (run_ms);
      verify->counts.jobs++;
      verify->counts.tasks += job.n_tasks;
      for (i = 0; i < job.n_tasks; i++)
        {
          TaskRecord *record = find_record (verify, &job, i);

          if (record != NULL)
            record->submitted = true;
        }
      for (i = 0; i < json_object_array_length (job.sends); i++)
        check_request (verify, &job, json_object_array_get_idx (job.sends, i));
      for (i = 0; i < json_object_array_length (job.events); i++)
        check_failed_attempt (verify, &job,
                              json_object_array_get_idx (job.events, i),
                              planned_entries, n_planned);
      check_refused_job (verify, &job);
    }
  json_object_put (root);
  return ok;
}

VerifyCounts
verify_finish (Verify *verify)
{
  VerifyCounts *counts = &verify->counts;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, verify->tasks);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const TaskRecord *record = value;

      if (record->n_starts > 1)
        add_finding (verify, &counts->started_twice, "started_twice", key);
      if (record->n_unfinished_planned > 0)
        add_finding (verify, &counts->cut_by_planned_stop,
                     "cut_by_planned_stop", key);
      if (!record->submitted)
        add_finding (verify, &counts->not_submitted, "not_submitted", key);
    }
  return *counts;
}

const char *
verify_findings (const Verify *verify)
{
  return verify->findings->str;
}

bool
verify_passed (const VerifyCounts *counts)
{
  return counts->started_twice == 0 && counts->partial == 0
         && counts->crossed == 0 && counts->false_not_run == 0
         && counts->cut_by_planned_stop == 0 && counts->unanswered == 0
         && counts->done_without_end == 0 && counts->not_submitted == 0;
}

static TaskRecord *
find_record (Verify *verify, const Job *job, uint32_t index)
{
  g_autofree char *key
      = g_strdup_printf ("%s/%s/%u", job->customer, job->id, index);

  return g_hash_table_lookup (verify->tasks, key);
}

static void
add_finding (Verify *verify,
             uint64_t *counter,
             const char *what,
             const char *key)
{
  (*counter)++;
  g_string_append_printf (verify->findings, "%s %s\n", what, key);
}

static bool
read_bool (struct json_object *object, const char *key)
{
  struct json_object *member;

  return json_object_object_get_ex (object, key, &member)
         && json_object_get_boolean (member);
}

static int64_t
read_int (struct json_object *object, const char *key)
{
  struct json_object *member;

  return json_object_object_get_ex (object, key, &member)
             ? json_object_get_int64 (member)
             : 0;
}

static void
check_task (Verify *verify, const Job *job, uint32_t index, TaskState state)
{
  const TaskRecord *record = find_record (verify, job, index);
  g_autofree char *key
      = g_strdup_printf ("%s/%s/%u", job->customer, job->id, index);

  if (state == TASK_NOT_RUN && record != NULL)
    add_finding (verify, &verify->counts.false_not_run, "false_not_run", key);
  if (state == TASK_DONE && (record == NULL || record->n_ends == 0))
    add_finding (verify, &verify->counts.done_without_end, "done_without_end",
                 key);
}

static void
check_request (Verify *verify, const Job *job, struct json_object *send)
{
  VerifyCounts *counts = &verify->counts;
  const char *state = "unanswered";
  const char *kind = "";
  struct json_object *tasks = NULL;
  size_t i;

  read_string (send, "state", &state);
  read_string (send, "kind", &kind);
  if (strcmp (state, "unanswered") == 0 || strcmp (state, "malformed") == 0
      || strcmp (kind, "unknown") == 0)
    add_finding (verify, &counts->unanswered, "unanswered", job->id);
  if (read_bool (send, "partial"))
    add_finding (verify, &counts->partial, "partial", job->id);
  if (read_bool (send, "crossed"))
    add_finding (verify, &counts->crossed, "crossed", job->id);
  if (!read_array (send, "tasks", &tasks))
    return;
  for (i = 0; i < json_object_array_length (tasks); i++)
    check_task (verify, job, (uint32_t) i,
                answer_parse_task_state (json_object_get_string (
                    json_object_array_get_idx (tasks, i))));
}

static bool
has_start_before (Verify *verify, const Job *job, HsTime time)
{
  uint32_t i;

  for (i = 0; i < job->n_tasks; i++)
    {
      const TaskRecord *record = find_record (verify, job, i);

      if (record != NULL && record->first_start < time)
        return true;
    }
  return false;
}

static bool
is_planned (int64_t entry, const int *planned_entries, size_t n_planned)
{
  size_t i;

  for (i = 0; i < n_planned; i++)
    if (planned_entries[i] == entry)
      return true;
  return false;
}

static void
check_failed_attempt (Verify *verify,
                      const Job *job,
                      struct json_object *event,
                      const int *planned_entries,
                      size_t n_planned)
{
  VerifyCounts *counts = &verify->counts;
  const char *kind = "";
  HsTime sent = read_int (event, "sent_us");
  HsTime ended = read_int (event, "ended_us");

  read_string (event, "kind", &kind);
  /* A start after the refusal may be due to a later retry. While another
     request for the job was open, a start may be due to that one; then only
     starts before this attempt contradict the refusal. */
  if (read_bool (event, "not_run")
      && has_start_before (verify, job,
                           read_bool (event, "alone") ? ended : sent))
    add_finding (verify, &counts->false_not_run, "false_not_run refusal",
                 job->id);
  if ((strcmp (kind, "broken") == 0 || strcmp (kind, "unknown") == 0)
      && is_planned (read_int (event, "entry"), planned_entries, n_planned))
    add_finding (verify, &counts->cut_by_planned_stop,
                 "cut_by_planned_stop request", job->id);
}

/**
 * Checks that a job has no start if all its requests were refused with "not
 * run".
 */
static void
check_refused_job (Verify *verify, const Job *job)
{
  size_t n = json_object_array_length (job->sends);
  size_t i;

  for (i = 0; i < n; i++)
    {
      struct json_object *send = json_object_array_get_idx (job->sends, i);
      const char *state = "";

      read_string (send, "state", &state);
      if (strcmp (state, "refused") != 0 || !read_bool (send, "not_run"))
        return;
    }
  if (n > 0 && has_start_before (verify, job, HS_NEVER))
    add_finding (verify, &verify->counts.false_not_run, "false_not_run job",
                 job->id);
}

typedef struct
{
  char *records;
  char *jobs;
  char *findings;
  char **planned;
  char **planned_entries;
} VerifyOptions;

static bool
parse_options (int argc, char **argv, VerifyOptions *options)
{
  const GOptionEntry entries[] = {
    { "records", 0, 0, G_OPTION_ARG_FILENAME, &options->records,
      "Directory with a record NAME.rec of each target", "DIR" },
    { "jobs", 0, 0, G_OPTION_ARG_FILENAME, &options->jobs,
      "Jobs, as written by hs-load run --jobs", "FILE" },
    { "findings", 0, 0, G_OPTION_ARG_FILENAME, &options->findings,
      "Write each violation to FILE", "FILE" },
    { "planned", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->planned,
      "A target that was stopped gracefully; repeatable", "NAME" },
    { "planned-entry", 0, 0, G_OPTION_ARG_STRING_ARRAY,
      &options->planned_entries,
      "An entry that was stopped gracefully, as its index among the --entry "
      "options, from 0; repeatable",
      "N" },
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
  else if (options->records == NULL || options->jobs == NULL)
    {
      fprintf (stderr, "hs-load: need --records and --jobs\n");
      ok = false;
    }
  return ok;
}

static bool
read_records (Verify *verify, const VerifyOptions *options, GError **error)
{
  g_autoptr (GDir) dir = g_dir_open (options->records, 0, error);
  const char *name;

  if (dir == NULL)
    return false;
  while ((name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *path = g_build_filename (options->records, name, NULL);
      g_autofree char *text = NULL;
      g_autofree char *target = NULL;

      if (!g_str_has_suffix (name, ".rec"))
        continue;
      if (!g_file_get_contents (path, &text, NULL, error))
        return false;
      target = g_strndup (name, strlen (name) - strlen (".rec"));
      verify_add_record (
          verify, text,
          options->planned != NULL
              && g_strv_contains ((const char *const *) options->planned,
                                  target));
    }
  return true;
}

static bool
read_jobs (Verify *verify, const VerifyOptions *options, GError **error)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  int planned[MAX_PLANNED_ENTRIES];
  size_t n = 0;
  size_t i;

  if (!g_file_get_contents (options->jobs, &text, NULL, error))
    return false;
  while (options->planned_entries != NULL && n < MAX_PLANNED_ENTRIES
         && options->planned_entries[n] != NULL)
    {
      planned[n]
          = (int) g_ascii_strtoll (options->planned_entries[n], NULL, 10);
      n++;
    }
  lines = g_strsplit (text, "\n", -1);
  for (i = 0; lines[i] != NULL; i++)
    if (lines[i][0] != '\0' && !verify_add_job (verify, lines[i], planned, n))
      {
        g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
                     "%s:%zu: malformed job", options->jobs, i + 1);
        return false;
      }
  return true;
}

static void
print_counts (const VerifyCounts *counts)
{
  printf ("{\"jobs\":%" PRIu64 ",\"tasks\":%" PRIu64
          ",\"started_twice\":%" PRIu64 ",\"partial\":%" PRIu64
          ",\"crossed\":%" PRIu64 ",\"false_not_run\":%" PRIu64
          ",\"cut_by_planned_stop\":%" PRIu64 ",\"unanswered\":%" PRIu64
          ",\"done_without_end\":%" PRIu64 ",\"not_submitted\":%" PRIu64 "}\n",
          counts->jobs, counts->tasks, counts->started_twice, counts->partial,
          counts->crossed, counts->false_not_run, counts->cut_by_planned_stop,
          counts->unanswered, counts->done_without_end, counts->not_submitted);
}

int
verify_main (int argc, char **argv)
{
  VerifyOptions options = { 0 };
  g_autoptr (GError) error = NULL;
  Verify *verify;
  VerifyCounts counts;
  bool ok;

  if (!parse_options (argc, argv, &options))
    return 2;
  verify = verify_new ();
  ok = read_records (verify, &options, &error)
       && read_jobs (verify, &options, &error);
  if (ok)
    {
      counts = verify_finish (verify);
      print_counts (&counts);
      if (options.findings != NULL)
        ok = g_file_set_contents (options.findings, verify_findings (verify),
                                  -1, &error);
    }
  if (error != NULL)
    fprintf (stderr, "hs-load: %s\n", error->message);
  verify_free (verify);
  return ok && verify_passed (&counts) ? 0 : 1;
}
