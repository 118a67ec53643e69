/**
 * @file
 * Updates a list from a file: {"NAME": {FIELDS}, ...}. A field that the file
 * omits keeps its current value.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cli/list_command.h"

#define HTTP_OK 200

/** A record to write. */
typedef struct
{
  const char *name;
  const char *current; /**< Canonical JSON; NULL: not stored yet. */
  const char *wanted;  /**< Canonical JSON; NULL: delete it. */
  int64_t revision;
} Change;

typedef struct
{
  const HsCliListCommand *command;
  struct json_object *current; /**< The stored records by name. */
  Change *changes;
  size_t n;
} ChangeSet;

static int get_current_records (TALLOC_CTX *ctx, ChangeSet *set);
static bool
diff_record (ChangeSet *set, const char *name, struct json_object *wanted);
static char *merge (TALLOC_CTX *ctx,
                    struct json_object *current,
                    struct json_object *wanted);
static void copy_fields (struct json_object *to, struct json_object *from);
static void add_deletions (ChangeSet *set, struct json_object *file);
static void add_change (ChangeSet *set, const Change *change);
static void print_change (const Change *change);
static void print_fields (TALLOC_CTX *ctx, const Change *change);
static int write_changes (const ChangeSet *set);

int
hs_cli_list_apply (const HsCliListCommand *command, const char *path)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  ChangeSet *set = talloc_zero (tmp, ChangeSet);
  HsJsonDoc *doc = hs_cli_read_json (tmp, command->type->name, path);
  int code = HS_CLI_USAGE;

  set->command = command;
  if (doc == NULL)
    goto out;
  if (!json_object_is_type (doc->root, json_type_object))
    {
      hs_cli_error (command->type->name,
                    "%s: must be one object that maps names to records", path);
      goto out;
    }
  code = get_current_records (tmp, set);
  if (code != HS_CLI_OK)
    goto out;
  json_object_object_foreach (doc->root, name, wanted)
  {
    if (!diff_record (set, name, wanted))
      {
        code = HS_CLI_USAGE;
        goto out;
      }
  }
  if (command->prune)
    add_deletions (set, doc->root);
  code = write_changes (set);
out:
  talloc_free (tmp);
  return code;
}

static int
get_current_records (TALLOC_CTX *ctx, ChangeSet *set)
{
  const HsCliListCommand *command = set->command;
  HsHttpResponse *response = hs_cli_list_get (ctx, command, NULL);

  if (response->outcome != HS_HTTP_RESPONDED || response->status != HTTP_OK)
    return hs_cli_report_failure (command->type->name, "list",
                                  command->admin_url, response);
  set->current = hs_cli_list_records (hs_cli_parse_json (ctx, response->body));
  if (set->current != NULL)
    return HS_CLI_OK;
  hs_cli_error (command->type->name,
                "no list in the response of %s; check that it is an admin "
                "address",
                command->admin_url);
  return HS_CLI_UNKNOWN;
}

static bool
diff_record (ChangeSet *set, const char *name, struct json_object *wanted)
{
  const HsCliListType *type = set->command->type;
  struct json_object *current = NULL;
  g_autoptr (GError) error = NULL;
  Change change = { .name = name };

  json_object_object_get_ex (set->current, name, &current);
  change.revision = hs_cli_record_revision (current);

  if (!json_object_is_type (wanted, json_type_object))
    {
      hs_cli_error (type->name, "%s: the record must be an object", name);
      return false;
    }
  if (current != NULL)
    change.current = type->normalize (set, hs_cli_record_fields (set, current),
                                      name, NULL);
  change.wanted
      = type->normalize (set, merge (set, current, wanted), name, &error);
  if (change.wanted == NULL)
    {
      hs_cli_error (type->name, "%s: %s", name, error->message);
      return false;
    }
  if (change.current == NULL || strcmp (change.current, change.wanted) != 0)
    add_change (set, &change);
  return true;
}

/* The stored fields, overridden by those of the file. */
static char *
merge (TALLOC_CTX *ctx, struct json_object *current, struct json_object *wanted)
{
  struct json_object *fields = json_object_new_object ();
  char *text;

  if (current != NULL)
    copy_fields (fields, current);
  /* A new key replaces the hash of the old one. */
  if (json_object_object_get_ex (wanted, "key", NULL))
    json_object_object_del (fields, "key_hash");
  copy_fields (fields, wanted);
  text = hs_cli_record_fields (ctx, fields);
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
add_deletions (ChangeSet *set, struct json_object *file)
{
  json_object_object_foreach (set->current, name, record)
  {
    Change change = { .name = name,
                      .current = "{}",
                      .revision = hs_cli_record_revision (record) };

    if (!json_object_object_get_ex (file, name, NULL))
      add_change (set, &change);
  }
}

static void
add_change (ChangeSet *set, const Change *change)
{
  set->changes
      = talloc_realloc (set, set->changes, Change, (unsigned) set->n + 1);
  set->changes[set->n++] = *change;
}

static void
print_change (const Change *change)
{
  TALLOC_CTX *tmp;

  if (change->wanted == NULL)
    printf ("- %s\n", change->name);
  else if (change->current == NULL)
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
  struct json_object *current = hs_cli_parse_json (ctx, change->current);
  struct json_object *wanted = hs_cli_parse_json (ctx, change->wanted);

  json_object_object_foreach (wanted, key, value)
  {
    struct json_object *old = NULL;

    json_object_object_get_ex (current, key, &old);
    if (json_object_equal (old, value))
      continue;
    printf ("~ %s %s: ", change->name, key);
    printf ("%s -> ", json_object_to_json_string (old));
    printf ("%s\n", json_object_to_json_string (value));
  }
}

/* Writes the changes. Stops at the first failure without undoing those
   already written. */
static int
write_changes (const ChangeSet *set)
{
  const HsCliListCommand *command = set->command;
  size_t i;

  for (i = 0; i < set->n; i++)
    {
      const Change *change = &set->changes[i];
      int code;

      print_change (change);
      if (command->dry_run)
        continue;
      code = hs_cli_record_write (command, change->name, change->wanted,
                                  change->revision);
      if (code == HS_CLI_OK)
        continue;
      hs_cli_error (command->type->name,
                    "%zu of %zu changes applied; apply again for the others", i,
                    set->n);
      return code;
    }
  return HS_CLI_OK;
}
