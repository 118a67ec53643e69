#include "entry/introductions.h"

#include <glib.h>

/* One agent; `entries` are those that know it. */
typedef struct
{
  uint64_t agent;
  bool complete;
  uint64_t *entries;
  uint32_t n;
} Introduction;

struct HsIntroductions
{
  GHashTable *by_agent;
};

static int table_destructor (HsIntroductions *table);
static Introduction *get (HsIntroductions *table, uint64_t agent);
static bool knows (const Introduction *introduction, uint64_t entry);

HsIntroductions *
hs_introductions_new (TALLOC_CTX *ctx)
{
  HsIntroductions *table = talloc_zero (ctx, HsIntroductions);

  table->by_agent = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (table, table_destructor);
  return table;
}

void
hs_introductions_known (HsIntroductions *table, uint64_t agent, uint64_t entry)
{
  Introduction *introduction = get (table, agent);

  if (introduction->complete || knows (introduction, entry))
    return;
  introduction->entries = talloc_realloc (introduction, introduction->entries,
                                          uint64_t, introduction->n + 1);
  introduction->entries[introduction->n++] = entry;
}

bool
hs_introductions_complete (HsIntroductions *table,
                           uint64_t agent,
                           const HsOwnership *view,
                           uint64_t self)
{
  Introduction *introduction = get (table, agent);
  uint32_t i;

  for (i = 0; !introduction->complete && i < hs_ownership_entries (view); i++)
    {
      uint64_t entry = hs_ownership_entry_at (view, i)->incarnation;

      if (entry != self && !knows (introduction, entry))
        return false;
    }
  introduction->complete = true;
  introduction->n = 0;
  TALLOC_FREE (introduction->entries);
  return true;
}

void
hs_introductions_forget (HsIntroductions *table, uint64_t agent)
{
  Introduction *introduction = g_hash_table_lookup (table->by_agent, &agent);

  if (introduction == NULL)
    return;
  g_hash_table_remove (table->by_agent, &agent);
  talloc_free (introduction);
}

static int
table_destructor (HsIntroductions *table)
{
  g_hash_table_destroy (table->by_agent);
  return 0;
}

static Introduction *
get (HsIntroductions *table, uint64_t agent)
{
  Introduction *introduction = g_hash_table_lookup (table->by_agent, &agent);

  if (introduction != NULL)
    return introduction;
  introduction = talloc_zero (table, Introduction);
  introduction->agent = agent;
  g_hash_table_insert (table->by_agent, &introduction->agent, introduction);
  return introduction;
}

static bool
knows (const Introduction *introduction, uint64_t entry)
{
  uint32_t i;

  for (i = 0; i < introduction->n; i++)
    if (introduction->entries[i] == entry)
      return true;
  return false;
}
