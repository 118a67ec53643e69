#include "entry/front_thread.h"

#define NO_SLOT UINT32_MAX
#define FIRST_SLOTS 64

static void grow (HsFrontThread *thread);

void
hs_front_table_add (HsFrontThread *thread, HsFrontRequest *request)
{
  HsFrontSlot *slot;

  if (thread->n_slots == 0 || thread->first_free == NO_SLOT)
    grow (thread);
  request->slot = thread->first_free;
  slot = &thread->slots[request->slot];
  thread->first_free = slot->next_free;
  slot->request = request;
  slot->generation++;
}

void
hs_front_table_remove (HsFrontThread *thread, HsFrontRequest *request)
{
  HsFrontSlot *slot = &thread->slots[request->slot];

  slot->request = NULL;
  slot->next_free = thread->first_free;
  thread->first_free = request->slot;
}

HsFrontRequest *
hs_front_table_find (HsFrontThread *thread, const HsFrontCall *call)
{
  const HsFrontSlot *slot = &thread->slots[call->slot];

  return slot->generation == call->generation ? slot->request : NULL;
}

static void
grow (HsFrontThread *thread)
{
  uint32_t n = thread->n_slots == 0 ? FIRST_SLOTS : 2 * thread->n_slots;
  uint32_t i;

  thread->slots = talloc_realloc (thread, thread->slots, HsFrontSlot, n);
  for (i = thread->n_slots; i < n; i++)
    thread->slots[i] = (HsFrontSlot){ NULL, 0, i + 1 < n ? i + 1 : NO_SLOT };
  thread->first_free = thread->n_slots;
  thread->n_slots = n;
}
