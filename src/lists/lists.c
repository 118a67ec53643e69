#include "lists/lists.h"

#include <string.h>

#include "base/error.h"

/** Deletions kept to ignore older revisions that arrive late. */
#define TOMBSTONES_MAX 4096

/** A deletion that was applied, with its revision. */
typedef struct
{
  char name[HS_NAME_MAX + 1];
  int64_t revision;
} Tombstone;

/**
 * Records of one kind, sorted by name. Each record begins with its name, so
 * that a pointer to the record is also a pointer to the name.
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
  Table plan_tombstones;
  Table allowance_tombstones;
  int64_t revision;
};

static void *table_find (const Table *table, const char *name, size_t *index);
static void
table_insert (HsLists *lists, Table *table, size_t index, void *record);
static void table_remove (Table *table, size_t index);
static void
table_copy (HsLists *copy, Table *to, const Table *from, size_t size);
static int64_t
last_revision (HsLists *lists, HsListKind kind, const char *name);
static bool apply_deletion (HsLists *lists,
                            HsListKind kind,
                            const char *name,
                            int64_t revision);
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
  table_copy (copy, &copy->plan_tombstones, &lists->plan_tombstones,
              sizeof (Tombstone));
  table_copy (copy, &copy->allowance_tombstones, &lists->allowance_tombstones,
              sizeof (Tombstone));
  return copy;
}

int64_t
hs_lists_revision (const HsLists *lists)
{
  return lists->revision;
}

void
hs_lists_advance_revision (HsLists *lists, int64_t revision)
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
                   "name: not a valid record name; use 1 to %d characters from "
                   "a-z, A-Z, 0-9, '.', '_' and '-', not starting with '.'",
                   HS_NAME_MAX);
      return false;
    }
  if (revision <= last_revision (lists, kind, name))
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
hs_lists_customer_allowance (const HsLists *lists, const char *customer)
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

/**
 * Finds a record by binary search.
 * @param index if not NULL, set to where the record is or would be inserted
 */
static void *
table_find (const Table *table, const char *name, size_t *index)
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
          if (index != NULL)
            *index = middle;
          return table->records[middle];
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  if (index != NULL)
    *index = low;
  return NULL;
}

static void
table_insert (HsLists *lists, Table *table, size_t index, void *record)
{
  if (table->n == talloc_array_length (table->records))
    table->records
        = talloc_realloc (lists, table->records, void *, 2 * table->n + 8);
  memmove (table->records + index + 1, table->records + index,
           (table->n - index) * sizeof (void *));
  table->records[index] = record;
  table->n++;
}

static void
table_remove (Table *table, size_t index)
{
  talloc_free (table->records[index]);
  table->n--;
  memmove (table->records + index, table->records + index + 1,
           (table->n - index) * sizeof (void *));
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
records_table (HsLists *lists, HsListKind kind)
{
  return kind == HS_LIST_PLANS ? &lists->plans : &lists->allowances;
}

static Table *
tombstones_of (HsLists *lists, HsListKind kind)
{
  return kind == HS_LIST_PLANS ? &lists->plan_tombstones
                               : &lists->allowance_tombstones;
}

/** Returns the revision at which a record was last written or deleted, or 0. */
static int64_t
last_revision (HsLists *lists, HsListKind kind, const char *name)
{
  const Tombstone *tombstone;
  const void *record = table_find (records_table (lists, kind), name, NULL);

  if (record != NULL)
    return kind == HS_LIST_PLANS ? ((const HsPlan *) record)->revision
                                 : ((const HsAllowance *) record)->revision;
  tombstone = table_find (tombstones_of (lists, kind), name, NULL);
  return tombstone != NULL ? tombstone->revision : 0;
}

static void
remove_oldest_tombstone (Table *tombstones)
{
  const Tombstone *tombstone;
  int64_t revision = INT64_MAX;
  size_t oldest = 0;
  size_t i;

  for (i = 0; i < tombstones->n; i++)
    {
      tombstone = tombstones->records[i];
      if (tombstone->revision < revision)
        {
          revision = tombstone->revision;
          oldest = i;
        }
    }
  table_remove (tombstones, oldest);
}

static void
set_tombstone (HsLists *lists,
               Table *tombstones,
               const char *name,
               int64_t revision)
{
  size_t index;
  Tombstone *tombstone = table_find (tombstones, name, &index);

  if (tombstone == NULL)
    {
      if (tombstones->n == TOMBSTONES_MAX)
        {
          remove_oldest_tombstone (tombstones);
          table_find (tombstones, name, &index);
        }
      tombstone = talloc_zero (lists, Tombstone);
      g_strlcpy (tombstone->name, name, sizeof tombstone->name);
      table_insert (lists, tombstones, index, tombstone);
    }
  tombstone->revision = revision;
}

static bool
apply_deletion (HsLists *lists,
                HsListKind kind,
                const char *name,
                int64_t revision)
{
  Table *records = records_table (lists, kind);
  size_t index;
  bool existed = table_find (records, name, &index) != NULL;

  if (existed)
    table_remove (records, index);
  set_tombstone (lists, tombstones_of (lists, kind), name, revision);
  hs_lists_advance_revision (lists, revision);
  return existed;
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
  Table *records = records_table (lists, kind);
  Table *tombstones = tombstones_of (lists, kind);
  void *record = parse_record (lists, kind, name, json, revision, error);
  size_t index;

  if (record == NULL)
    return false;
  if (table_find (tombstones, name, &index) != NULL)
    table_remove (tombstones, index);
  if (table_find (records, name, &index) != NULL)
    table_remove (records, index);
  table_insert (lists, records, index, record);
  hs_lists_advance_revision (lists, revision);
  return true;
}
