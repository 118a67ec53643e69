#include "entry/frontend_private.h"

#define NO_SLOT UINT32_MAX
#define INITIAL_SLOTS 64

static void grow_table (HsFrontendThread *thread);

void
hs_frontend_table_add (HsFrontendThread *thread, HsFrontendRequest *request)
{
  HsFrontendSlot *slot;

  if (thread->n_slots == 0 || thread->first_free == NO_SLOT)
    grow_table (thread);
  request->slot = thread->first_free;
  slot = &thread->slots[request->slot];
  thread->first_free = slot->next_free;
  slot->request = request;
  slot->generation++;
}

void
hs_frontend_table_remove (HsFrontendThread *thread, HsFrontendRequest *request)
{
  HsFrontendSlot *slot = &thread->slots[request->slot];

  slot->request = NULL;
  slot->next_free = thread->first_free;
  thread->first_free = request->slot;
}

HsFrontendRequest *
hs_frontend_table_find (HsFrontendThread *thread, const HsJobRequest *job)
{
  const HsFrontendSlot *slot = &thread->slots[job->slot];

  return slot->generation == job->generation ? slot->request : NULL;
}

static void
grow_table (HsFrontendThread *thread)
{
  uint32_t n = thread->n_slots == 0 ? INITIAL_SLOTS : 2 * thread->n_slots;
  uint32_t i;

  thread->slots = talloc_realloc (thread, thread->slots, HsFrontendSlot, n);
  for (i = thread->n_slots; i < n; i++)
    thread->slots[i] = (HsFrontendSlot){ NULL, 0, i + 1 < n ? i + 1 : NO_SLOT };
  thread->first_free = thread->n_slots;
  thread->n_slots = n;
}
