#include "direct/evacuations.h"

#include <string.h>

#include <glib.h>

#include "proto/hspoke.h"

struct HsEvacuations
{
  GPtrArray *names; /* Owned strings. */
  int64_t revision;
  bool known;
  HsEvacuationFunc func;
  void *arg;
};

static int free_evacuations (HsEvacuations *evacuations);
static bool find (const GPtrArray *names, const char *name, guint *index);
static void
begin (HsEvacuations *evacuations, const char *name, int64_t revision);
static void end (HsEvacuations *evacuations, guint index, int64_t revision);

HsEvacuations *
hs_evacuations_new (TALLOC_CTX *ctx, HsEvacuationFunc func, void *arg)
{
  HsEvacuations *evacuations = talloc_zero (ctx, HsEvacuations);

  evacuations->names = g_ptr_array_new_with_free_func (g_free);
  evacuations->func = func;
  evacuations->arg = arg;
  talloc_set_destructor (evacuations, free_evacuations);
  return evacuations;
}

bool
hs_evacuations_is_known (const HsEvacuations *evacuations)
{
  return evacuations->known;
}

int64_t
hs_evacuations_revision (const HsEvacuations *evacuations)
{
  return evacuations->revision;
}

uint32_t
hs_evacuations_count (const HsEvacuations *evacuations)
{
  return evacuations->names->len;
}

const char *
hs_evacuations_get (const HsEvacuations *evacuations, uint32_t i)
{
  return g_ptr_array_index (evacuations->names, i);
}

bool
hs_evacuations_may_start (const HsEvacuations *evacuations,
                          const char *data_centre)
{
  if (evacuations == NULL)
    return true;
  return evacuations->known && !find (evacuations->names, data_centre, NULL);
}

bool
hs_evacuations_may_start_anywhere (const HsEvacuations *evacuations)
{
  return evacuations == NULL
         || (evacuations->known && evacuations->names->len == 0);
}

bool
hs_evacuations_replace (HsEvacuations *evacuations,
                        const char *const *names,
                        uint32_t n,
                        int64_t revision)
{
  guint i;
  uint32_t k;

  if (evacuations->known && revision <= evacuations->revision)
    return false;
  evacuations->known = true;
  evacuations->revision = revision;
  for (i = evacuations->names->len; i-- > 0;)
    {
      for (k = 0;
           k < n
           && strcmp (names[k], g_ptr_array_index (evacuations->names, i)) != 0;
           k++)
        ;
      if (k == n)
        end (evacuations, i, revision);
    }
  for (k = 0; k < n; k++)
    begin (evacuations, names[k], revision);
  return true;
}

bool
hs_evacuations_apply (HsEvacuations *evacuations,
                      const HsEvacuationChange *changes,
                      uint32_t n)
{
  /* One transaction of the store may have several changes. */
  int64_t before = evacuations->revision;
  uint32_t i;
  guint index;

  if (!evacuations->known)
    return false;
  for (i = 0; i < n; i++)
    {
      const HsEvacuationChange *change = &changes[i];

      if (change->revision <= before)
        continue;
      evacuations->revision = MAX (evacuations->revision, change->revision);
      if (change->begun)
        begin (evacuations, change->data_centre, change->revision);
      else if (find (evacuations->names, change->data_centre, &index))
        end (evacuations, index, change->revision);
    }
  return evacuations->revision > before;
}

static int
free_evacuations (HsEvacuations *evacuations)
{
  g_ptr_array_unref (evacuations->names);
  return 0;
}

static bool
find (const GPtrArray *names, const char *name, guint *index)
{
  guint i;

  for (i = 0; i < names->len; i++)
    if (strcmp (g_ptr_array_index (names, i), name) == 0)
      {
        if (index != NULL)
          *index = i;
        return true;
      }
  return false;
}

/* More data centres than fit into a message are ignored. */
static void
begin (HsEvacuations *evacuations, const char *name, int64_t revision)
{
  HsEvacuationChange change = { name, revision, true };

  if (evacuations->names->len == HSX_EVACUATIONS_MAX
      || find (evacuations->names, name, NULL))
    return;
  g_ptr_array_add (evacuations->names, g_strdup (name));
  if (evacuations->func != NULL)
    evacuations->func (evacuations->arg, &change);
}

static void
end (HsEvacuations *evacuations, guint index, int64_t revision)
{
  HsEvacuationChange change
      = { g_ptr_array_index (evacuations->names, index), revision, false };

  if (evacuations->func != NULL)
    evacuations->func (evacuations->arg, &change);
  g_ptr_array_remove_index (evacuations->names, index);
}
