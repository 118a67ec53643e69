#include "entry/visibility.h"

#include <glib.h>

/* An agent and the entries that know it. */
typedef struct
{
  uint64_t agent;
  bool complete;
  uint64_t *entries;
  uint32_t n_entries;
} AgentVisibility;

struct HsVisibility
{
  GHashTable *by_agent;
};

static int table_destructor (HsVisibility *table);
static AgentVisibility *find_or_add (HsVisibility *table, uint64_t agent);
static bool is_visible_to (const AgentVisibility *visibility, uint64_t entry);

HsVisibility *
hs_visibility_new (TALLOC_CTX *ctx)
{
  HsVisibility *table = talloc_zero (ctx, HsVisibility);

  table->by_agent = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (table, table_destructor);
  return table;
}

void
hs_visibility_add (HsVisibility *table, uint64_t agent, uint64_t entry)
{
  AgentVisibility *visibility = find_or_add (table, agent);

  if (visibility->complete || is_visible_to (visibility, entry))
    return;
  visibility->entries = talloc_realloc (visibility, visibility->entries,
                                        uint64_t, visibility->n_entries + 1);
  visibility->entries[visibility->n_entries++] = entry;
}

bool
hs_visibility_complete (HsVisibility *table,
                        uint64_t agent,
                        const HsOwnership *view,
                        uint64_t self)
{
  AgentVisibility *visibility = find_or_add (table, agent);
  uint32_t i;

  for (i = 0; !visibility->complete && i < hs_ownership_entry_count (view); i++)
    {
      uint64_t entry = hs_ownership_entry_at (view, i)->incarnation;

      if (entry != self && !is_visible_to (visibility, entry))
        return false;
    }
  visibility->complete = true;
  visibility->n_entries = 0;
  TALLOC_FREE (visibility->entries);
  return true;
}

void
hs_visibility_remove (HsVisibility *table, uint64_t agent)
{
  AgentVisibility *visibility = g_hash_table_lookup (table->by_agent, &agent);

  if (visibility == NULL)
    return;
  g_hash_table_remove (table->by_agent, &agent);
  talloc_free (visibility);
}

static int
table_destructor (HsVisibility *table)
{
  g_hash_table_destroy (table->by_agent);
  return 0;
}

static AgentVisibility *
find_or_add (HsVisibility *table, uint64_t agent)
{
  AgentVisibility *visibility = g_hash_table_lookup (table->by_agent, &agent);

  if (visibility != NULL)
    return visibility;
  visibility = talloc_zero (table, AgentVisibility);
  visibility->agent = agent;
  g_hash_table_insert (table->by_agent, &visibility->agent, visibility);
  return visibility;
}

static bool
is_visible_to (const AgentVisibility *visibility, uint64_t entry)
{
  uint32_t i;

  for (i = 0; i < visibility->n_entries; i++)
    if (visibility->entries[i] == entry)
      return true;
  return false;
}
