#include "lists/list_json.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

static char *stored_json (TALLOC_CTX *ctx,
                          const HsLists *lists,
                          HsListKind kind,
                          const char *name);
static char **record_names (TALLOC_CTX *ctx,
                            const HsLists *lists,
                            HsListKind kind,
                            size_t *n);
static int compare_changes (const void *a, const void *b);

int64_t
hs_list_record_revision (const HsLists *lists,
                         HsListKind kind,
                         const char *name)
{
  const HsAllowance *allowance;
  const HsPlan *plan;

  switch (kind)
    {
    case HS_LIST_PLANS:
      plan = hs_lists_plan (lists, name);
      return plan != NULL ? plan->revision : 0;
    case HS_LIST_ALLOWANCES:
      allowance = hs_lists_allowance (lists, name);
      return allowance != NULL ? allowance->revision : 0;
    default:
      g_assert_not_reached ();
    }
}

char *
hs_list_record_json (TALLOC_CTX *ctx,
                     const HsLists *lists,
                     HsListKind kind,
                     const char *name)
{
  char *json = stored_json (ctx, lists, kind, name);

  if (json == NULL)
    return NULL;
  json[strlen (json) - 1] = '\0';
  return talloc_asprintf_append (json, ",\"revision\":%" PRId64 "}",
                                 hs_list_record_revision (lists, kind, name));
}

char *
hs_list_json (TALLOC_CTX *ctx, const HsLists *lists, HsListKind kind)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  GString *text = g_string_new (NULL);
  char **names;
  char *copy;
  size_t n;
  size_t i;

  names = record_names (tmp, lists, kind, &n);
  g_string_append_printf (text, "{\"revision\":%" PRId64 ",\"records\":{",
                          hs_lists_revision (lists));
  for (i = 0; i < n; i++)
    g_string_append_printf (text, "%s\"%s\":%s", i > 0 ? "," : "", names[i],
                            hs_list_record_json (tmp, lists, kind, names[i]));
  g_string_append (text, "}}");
  copy = talloc_strndup (ctx, text->str, text->len);
  g_string_free (text, TRUE);
  talloc_free (tmp);
  return copy;
}

char *
hs_list_normalise (TALLOC_CTX *ctx,
                   const HsLists *lists,
                   HsListKind kind,
                   const char *name,
                   const char *json,
                   GError **error)
{
  const HsPlan *current;
  HsAllowance allowance;
  HsPlan plan;

  switch (kind)
    {
    case HS_LIST_PLANS:
      if (!hs_plan_parse (json, name, &plan, error))
        return NULL;
      current = hs_lists_plan (lists, name);
      if (plan.key_hash[0] == '\0' && current != NULL)
        g_strlcpy (plan.key_hash, current->key_hash, sizeof plan.key_hash);
      return hs_plan_to_json (ctx, &plan);
    case HS_LIST_ALLOWANCES:
      if (!hs_allowance_parse (json, name, &allowance, error))
        return NULL;
      return hs_allowance_to_json (ctx, &allowance);
    default:
      g_assert_not_reached ();
    }
}

/** Appends the change to a record, if it differs from the current one. */
static bool
diff_record (HsListChange *changes,
             size_t *n,
             const HsLists *lists,
             HsListKind kind,
             const char *name,
             struct json_object *record,
             GError **error)
{
  HsListChange *change = &changes[*n];
  const char *text
      = json_object_to_json_string_ext (record, JSON_C_TO_STRING_PLAIN);
  const char *current = stored_json (changes, lists, kind, name);

  if (!hs_name_valid (name))
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "records: \"%.64s\" is not a valid name; use 1 to 64 "
                   "characters from a-z, A-Z, 0-9, '.', '_' and '-'",
                   name);
      return false;
    }
  change->json = hs_list_normalise (changes, lists, kind, name, text, error);
  if (change->json == NULL)
    {
      g_prefix_error (error, "records.%s.", name);
      return false;
    }
  if (current != NULL && strcmp (current, change->json) == 0)
    return true;
  change->kind = current != NULL ? HS_LIST_CHANGE_EDIT : HS_LIST_CHANGE_ADD;
  change->name = talloc_strdup (changes, name);
  change->expected_revision = hs_list_record_revision (lists, kind, name);
  (*n)++;
  return true;
}

HsListChange *
hs_list_diff (TALLOC_CTX *ctx,
              const HsLists *lists,
              HsListKind kind,
              struct json_object *records,
              size_t *n,
              GError **error)
{
  size_t n_current;
  TALLOC_CTX *tmp = talloc_new (NULL);
  char **current = record_names (tmp, lists, kind, &n_current);
  size_t n_records = (size_t) json_object_object_length (records);
  HsListChange *changes
      = talloc_zero_array (ctx, HsListChange, n_current + n_records + 1);
  struct json_object_iterator iter = json_object_iter_begin (records);
  struct json_object_iterator end = json_object_iter_end (records);
  bool ok = true;
  size_t i;

  *n = 0;
  for (; ok && !json_object_iter_equal (&iter, &end);
       json_object_iter_next (&iter))
    ok = diff_record (changes, n, lists, kind,
                      json_object_iter_peek_name (&iter),
                      json_object_iter_peek_value (&iter), error);
  for (i = 0; ok && i < n_current; i++)
    if (!json_object_object_get_ex (records, current[i], NULL))
      changes[(*n)++]
          = (HsListChange){ HS_LIST_CHANGE_REMOVE,
                            talloc_steal (changes, current[i]), NULL,
                            hs_list_record_revision (lists, kind, current[i]) };
  talloc_free (tmp);
  if (!ok)
    {
      talloc_free (changes);
      return NULL;
    }
  qsort (changes, *n, sizeof *changes, compare_changes);
  return changes;
}

static int
compare_changes (const void *a, const void *b)
{
  return strcmp (((const HsListChange *) a)->name,
                 ((const HsListChange *) b)->name);
}

/** Returns a record as it is stored, or NULL if it is absent. */
static char *
stored_json (TALLOC_CTX *ctx,
             const HsLists *lists,
             HsListKind kind,
             const char *name)
{
  const HsAllowance *allowance;
  const HsPlan *plan;

  switch (kind)
    {
    case HS_LIST_PLANS:
      plan = hs_lists_plan (lists, name);
      return plan != NULL ? hs_plan_to_json (ctx, plan) : NULL;
    case HS_LIST_ALLOWANCES:
      allowance = hs_lists_allowance (lists, name);
      return allowance != NULL ? hs_allowance_to_json (ctx, allowance) : NULL;
    default:
      g_assert_not_reached ();
    }
}

static char **
record_names (TALLOC_CTX *ctx, const HsLists *lists, HsListKind kind, size_t *n)
{
  const HsAllowance *const *allowances;
  const HsPlan *const *plans;
  char **names;
  size_t i;

  if (kind == HS_LIST_PLANS)
    {
      plans = hs_lists_plans (lists, n);
      names = talloc_array (ctx, char *, *n + 1);
      for (i = 0; i < *n; i++)
        names[i] = talloc_strdup (names, plans[i]->customer);
      return names;
    }
  allowances = hs_lists_allowances (lists, n);
  names = talloc_array (ctx, char *, *n + 1);
  for (i = 0; i < *n; i++)
    names[i] = talloc_strdup (names, allowances[i]->plan);
  return names;
}
