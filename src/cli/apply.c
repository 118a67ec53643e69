/**
 * @file
 * Makes a list what a file says: {"NAME": {FIELDS}, ...}. A field that the
 * file leaves out keeps its present value.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cli/records.h"

#define HTTP_OK 200

/** One record that is going to be written. */
typedef struct
{
  const char *name;
  const char *present; /**< Canonical JSON; NULL: absent. */
  const char *wanted;  /**< Canonical JSON; NULL: to be deleted. */
  int64_t revision;
} Change;

typedef struct
{
  const HsCliRecords *records;
  struct json_object *array; /**< The present records. */
  Change *changes;
  size_t n;
} Plan;

static int get_present (TALLOC_CTX *ctx, Plan *plan);
static struct json_object *find (const Plan *plan, const char *name);
static bool
plan_record (Plan *plan, const char *name, struct json_object *wanted);
static char *merge (TALLOC_CTX *ctx,
                    const HsCliList *list,
                    struct json_object *present,
                    struct json_object *wanted);
static void copy_fields (struct json_object *to, struct json_object *from);
static void plan_prune (Plan *plan, struct json_object *file);
static void add (Plan *plan, const Change *change);
static void print_change (const Change *change);
static void print_fields (TALLOC_CTX *ctx, const Change *change);
static int carry_out (const Plan *plan);

int
hs_cli_records_apply (const HsCliRecords *records, const char *path)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  Plan *plan = talloc_zero (tmp, Plan);
  HsJsonDoc *doc = hs_cli_read_json (tmp, records->list->command, path);
  int code = HS_CLI_USAGE;

  plan->records = records;
  if (doc == NULL)
    goto out;
  if (!json_object_is_type (doc->root, json_type_object))
    {
      hs_cli_error (records->list->command,
                    "%s holds no object of records by name; see the manual",
                    path);
      goto out;
    }
  code = get_present (tmp, plan);
  if (code != HS_CLI_OK)
    goto out;
  json_object_object_foreach (doc->root, name, wanted)
  {
    if (!plan_record (plan, name, wanted))
      {
        code = HS_CLI_USAGE;
        goto out;
      }
  }
  if (records->prune)
    plan_prune (plan, doc->root);
  code = carry_out (plan);
out:
  talloc_free (tmp);
  return code;
}

static int
get_present (TALLOC_CTX *ctx, Plan *plan)
{
  const HsCliRecords *records = plan->records;
  HsHttpReply *reply = hs_cli_records_get (ctx, records, NULL);
  struct json_object *root;

  if (reply->outcome != HS_HTTP_ANSWERED || reply->status != HTTP_OK)
    return hs_cli_explain (records->list->command, "list", records->admin,
                           reply);
  root = hs_cli_parse (ctx, reply->body);
  if (json_object_is_type (root, json_type_object)
      && json_object_object_get_ex (root, records->list->list_key, &plan->array)
      && json_object_is_type (plan->array, json_type_array))
    return HS_CLI_OK;
  hs_cli_error (records->list->command,
                "%s gave no list; check that it is an admin address",
                records->admin);
  return HS_CLI_UNKNOWN;
}

static struct json_object *
find (const Plan *plan, const char *name)
{
  const char *key = plan->records->list->name_key;
  size_t i;

  for (i = 0; i < json_object_array_length (plan->array); i++)
    {
      struct json_object *record = json_object_array_get_idx (plan->array, i);

      if (strcmp (hs_cli_string (record, key, ""), name) == 0)
        return record;
    }
  return NULL;
}

static bool
plan_record (Plan *plan, const char *name, struct json_object *wanted)
{
  const HsCliList *list = plan->records->list;
  struct json_object *present = find (plan, name);
  g_autoptr (GError) error = NULL;
  Change change
      = { .name = name, .revision = hs_cli_record_revision (present) };

  if (!json_object_is_type (wanted, json_type_object))
    {
      hs_cli_error (list->command, "%s: the record must be an object", name);
      return false;
    }
  if (present != NULL)
    change.present = list->normalize (
        plan, hs_cli_record_fields (plan, list, present), name, NULL);
  change.wanted = list->normalize (plan, merge (plan, list, present, wanted),
                                   name, &error);
  if (change.wanted == NULL)
    {
      hs_cli_error (list->command, "%s: %s", name, error->message);
      return false;
    }
  if (change.present == NULL || strcmp (change.present, change.wanted) != 0)
    add (plan, &change);
  return true;
}

/* The present fields, overlaid by those of the file. */
static char *
merge (TALLOC_CTX *ctx,
       const HsCliList *list,
       struct json_object *present,
       struct json_object *wanted)
{
  struct json_object *fields = json_object_new_object ();
  char *text;

  if (present != NULL)
    copy_fields (fields, present);
  /* A new key takes the place of the hash of the old one. */
  if (json_object_object_get_ex (wanted, "key", NULL))
    json_object_object_del (fields, "key_hash");
  copy_fields (fields, wanted);
  text = hs_cli_record_fields (ctx, list, fields);
  json_object_put (fields);
  return text;
}

static void
copy_fields (struct json_object *to, struct json_object *from)
{
  json_object_object_foreach (from, key, value)
  {
    json_object_object_add (to, key, json_object_get (value));
  }
}

static void
plan_prune (Plan *plan, struct json_object *file)
{
  const HsCliList *list = plan->records->list;
  size_t i;

  for (i = 0; i < json_object_array_length (plan->array); i++)
    {
      struct json_object *record = json_object_array_get_idx (plan->array, i);
      Change change = { .name = hs_cli_string (record, list->name_key, ""),
                        .present = "{}",
                        .revision = hs_cli_record_revision (record) };

      if (!json_object_object_get_ex (file, change.name, NULL))
        add (plan, &change);
    }
}

static void
add (Plan *plan, const Change *change)
{
  plan->changes
      = talloc_realloc (plan, plan->changes, Change, (unsigned) plan->n + 1);
  plan->changes[plan->n++] = *change;
}

static void
print_change (const Change *change)
{
  TALLOC_CTX *tmp;

  if (change->wanted == NULL)
    printf ("- %s\n", change->name);
  else if (change->present == NULL)
    printf ("+ %s %s\n", change->name, change->wanted);
  else
    {
      tmp = talloc_new (NULL);
      print_fields (tmp, change);
      talloc_free (tmp);
    }
}

static void
print_fields (TALLOC_CTX *ctx, const Change *change)
{
  struct json_object *present = hs_cli_parse (ctx, change->present);
  struct json_object *wanted = hs_cli_parse (ctx, change->wanted);

  json_object_object_foreach (wanted, key, value)
  {
    struct json_object *old = NULL;

    json_object_object_get_ex (present, key, &old);
    if (json_object_equal (old, value))
      continue;
    printf ("~ %s %s: ", change->name, key);
    printf ("%s -> ", json_object_to_json_string (old));
    printf ("%s\n", json_object_to_json_string (value));
  }
}

/* Stops at the first failure; what was written before stays written. */
static int
carry_out (const Plan *plan)
{
  const HsCliRecords *records = plan->records;
  size_t i;

  for (i = 0; i < plan->n; i++)
    {
      const Change *change = &plan->changes[i];
      int code;

      print_change (change);
      if (records->dry_run)
        continue;
      code = hs_cli_records_write (records, change->name, change->wanted,
                                   change->revision);
      if (code == HS_CLI_OK)
        continue;
      hs_cli_error (records->list->command,
                    "%zu of %zu changes are applied; apply again for the rest",
                    i, plan->n);
      return code;
    }
  return HS_CLI_OK;
}
