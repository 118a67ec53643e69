#include "lists/lists.h"

#include <string.h>

#include "base/error.h"

/** Deletions remembered, to refuse older records that arrive late. */
#define DELETIONS_MAX 4096

/** A deletion that was applied. */
typedef struct
{
  char name[HS_NAME_MAX + 1];
  int64_t revision;
} Deletion;

/**
 * Records of one kind sorted by name. Every record begins with its name, so
 * that a pointer to it is a pointer to its name.
 */
typedef struct
{
  void **records;
  size_t n;
} Table;

struct HsLists
{
  Table plans;
  Table allowances;
  Table deleted_plans;
  Table deleted_allowances;
  int64_t revision;
};

static void *table_find (const Table *table, const char *name, size_t *at);
static void
table_insert (HsLists *lists, Table *table, size_t at, void *record);
static void table_remove (Table *table, size_t at);
static void
table_copy (HsLists *copy, Table *to, const Table *from, size_t size);
static int64_t
known_revision (HsLists *lists, HsListKind kind, const char *name);
static bool
apply_deletion (HsLists *lists, HsListKind kind, const char *name, int64_t rev);
static bool apply_record (HsLists *lists,
                          HsListKind kind,
                          const char *name,
                          const char *json,
                          int64_t revision,
                          GError **error);

HsLists *
hs_lists_new (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, HsLists);
}

HsLists *
hs_lists_copy (TALLOC_CTX *ctx, const HsLists *lists)
{
  HsLists *copy = hs_lists_new (ctx);

  copy->revision = lists->revision;
  table_copy (copy, &copy->plans, &lists->plans, sizeof (HsPlan));
  table_copy (copy, &copy->allowances, &lists->allowances,
              sizeof (HsAllowance));
  table_copy (copy, &copy->deleted_plans, &lists->deleted_plans,
              sizeof (Deletion));
  table_copy (copy, &copy->deleted_allowances, &lists->deleted_allowances,
              sizeof (Deletion));
  return copy;
}

int64_t
hs_lists_revision (const HsLists *lists)
{
  return lists->revision;
}

void
hs_lists_advance (HsLists *lists, int64_t revision)
{
  lists->revision = MAX (lists->revision, revision);
}

bool
hs_lists_apply (HsLists *lists,
                HsListKind kind,
                const char *name,
                const char *json,
                int64_t revision,
                GError **error)
{
  if (!hs_name_valid (name))
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "name: is not one of a record; use 1 to %d of a-z, A-Z, "
                   "0-9, '.', '_' and '-', not starting with '.'",
                   HS_NAME_MAX);
      return false;
    }
  if (revision <= known_revision (lists, kind, name))
    return false;
  if (json == NULL)
    return apply_deletion (lists, kind, name, revision);
  return apply_record (lists, kind, name, json, revision, error);
}

const HsPlan *
hs_lists_plan (const HsLists *lists, const char *customer)
{
  return table_find (&lists->plans, customer, NULL);
}

const HsAllowance *
hs_lists_allowance (const HsLists *lists, const char *plan)
{
  return table_find (&lists->allowances, plan, NULL);
}

const HsAllowance *
hs_lists_allowance_of (const HsLists *lists, const char *customer)
{
  const HsPlan *plan = hs_lists_plan (lists, customer);

  return plan != NULL ? hs_lists_allowance (lists, plan->plan) : NULL;
}

const HsPlan *const *
hs_lists_plans (const HsLists *lists, size_t *n)
{
  *n = lists->plans.n;
  return (const HsPlan *const *) lists->plans.records;
}

const HsAllowance *const *
hs_lists_allowances (const HsLists *lists, size_t *n)
{
  *n = lists->allowances.n;
  return (const HsAllowance *const *) lists->allowances.records;
}

const char *
hs_list_prefix (HsListKind kind)
{
  switch (kind)
    {
    case HS_LIST_PLANS:
      return "hs/plan/";
    case HS_LIST_ALLOWANCES:
      return "hs/allowance/";
    default:
      g_assert_not_reached ();
    }
}

/** @param at if not NULL, set to where the name is or belongs */
static void *
table_find (const Table *table, const char *name, size_t *at)
{
  size_t low = 0;
  size_t high = table->n;
  size_t middle;
  int order;

  while (low < high)
    {
      middle = low + (high - low) / 2;
      order = strcmp (table->records[middle], name);
      if (order == 0)
        {
          if (at != NULL)
            *at = middle;
          return table->records[middle];
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  if (at != NULL)
    *at = low;
  return NULL;
}

static void
table_insert (HsLists *lists, Table *table, size_t at, void *record)
{
  if (table->n == talloc_array_length (table->records))
    table->records
        = talloc_realloc (lists, table->records, void *, 2 * table->n + 8);
  memmove (table->records + at + 1, table->records + at,
           (table->n - at) * sizeof (void *));
  table->records[at] = record;
  table->n++;
}

static void
table_remove (Table *table, size_t at)
{
  talloc_free (table->records[at]);
  table->n--;
  memmove (table->records + at, table->records + at + 1,
           (table->n - at) * sizeof (void *));
}

static void
table_copy (HsLists *copy, Table *to, const Table *from, size_t size)
{
  size_t i;

  to->n = from->n;
  to->records = talloc_array (copy, void *, from->n + 8);
  for (i = 0; i < from->n; i++)
    to->records[i] = talloc_memdup (copy, from->records[i], size);
}

static Table *
records_of (HsLists *lists, HsListKind kind)
{
  return kind == HS_LIST_PLANS ? &lists->plans : &lists->allowances;
}

static Table *
deletions_of (HsLists *lists, HsListKind kind)
{
  return kind == HS_LIST_PLANS ? &lists->deleted_plans
                               : &lists->deleted_allowances;
}

/** The revision at which a record was last written or deleted, else 0. */
static int64_t
known_revision (HsLists *lists, HsListKind kind, const char *name)
{
  const Deletion *deletion;
  const void *record = table_find (records_of (lists, kind), name, NULL);

  if (record != NULL)
    return kind == HS_LIST_PLANS ? ((const HsPlan *) record)->revision
                                 : ((const HsAllowance *) record)->revision;
  deletion = table_find (deletions_of (lists, kind), name, NULL);
  return deletion != NULL ? deletion->revision : 0;
}

static void
drop_oldest (Table *deletions)
{
  const Deletion *deletion;
  int64_t revision = INT64_MAX;
  size_t oldest = 0;
  size_t i;

  for (i = 0; i < deletions->n; i++)
    {
      deletion = deletions->records[i];
      if (deletion->revision < revision)
        {
          revision = deletion->revision;
          oldest = i;
        }
    }
  table_remove (deletions, oldest);
}

static void
note_deletion (HsLists *lists,
               Table *deletions,
               const char *name,
               int64_t revision)
{
  size_t at;
  Deletion *deletion = table_find (deletions, name, &at);

  if (deletion == NULL)
    {
      if (deletions->n == DELETIONS_MAX)
        {
          drop_oldest (deletions);
          table_find (deletions, name, &at);
        }
      deletion = talloc_zero (lists, Deletion);
      g_strlcpy (deletion->name, name, sizeof deletion->name);
      table_insert (lists, deletions, at, deletion);
    }
  deletion->revision = revision;
}

static bool
apply_deletion (HsLists *lists, HsListKind kind, const char *name, int64_t rev)
{
  Table *records = records_of (lists, kind);
  size_t at;
  bool held = table_find (records, name, &at) != NULL;

  if (held)
    table_remove (records, at);
  note_deletion (lists, deletions_of (lists, kind), name, rev);
  hs_lists_advance (lists, rev);
  return held;
}

static void *
parse_record (HsLists *lists,
              HsListKind kind,
              const char *name,
              const char *json,
              int64_t revision,
              GError **error)
{
  HsAllowance allowance;
  HsPlan plan;

  switch (kind)
    {
    case HS_LIST_PLANS:
      if (!hs_plan_parse (json, name, &plan, error))
        return NULL;
      plan.revision = revision;
      return talloc_memdup (lists, &plan, sizeof plan);
    case HS_LIST_ALLOWANCES:
      if (!hs_allowance_parse (json, name, &allowance, error))
        return NULL;
      allowance.revision = revision;
      return talloc_memdup (lists, &allowance, sizeof allowance);
    default:
      g_assert_not_reached ();
    }
}

static bool
apply_record (HsLists *lists,
              HsListKind kind,
              const char *name,
              const char *json,
              int64_t revision,
              GError **error)
{
  Table *records = records_of (lists, kind);
  Table *deletions = deletions_of (lists, kind);
  void *record = parse_record (lists, kind, name, json, revision, error);
  size_t at;

  if (record == NULL)
    return false;
  if (table_find (deletions, name, &at) != NULL)
    table_remove (deletions, at);
  if (table_find (records, name, &at) != NULL)
    table_remove (records, at);
  table_insert (lists, records, at, record);
  hs_lists_advance (lists, revision);
  return true;
}
