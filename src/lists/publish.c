#include "lists/publish.h"

#include "base/tsan.h"

struct HsListsBox
{
  HsLists *lists;
};

static int free_lists (HsListsBox *box);

HsListsBox *
hs_lists_box_new (TALLOC_CTX *ctx)
{
  HsListsBox *box = talloc_zero (ctx, HsListsBox);

  box->lists = hs_lists_new (NULL);
  talloc_set_destructor (box, free_lists);
  return box;
}

void
hs_lists_publish (HsListsBox *box, HsLists *lists)
{
  HsLists *old;

  talloc_steal (NULL, lists);
  HS_TSAN_RELEASE (&box->lists);
  old = rcu_xchg_pointer (&box->lists, lists);
  /* Edits are rare and read sections take microseconds, so that waiting
   * here costs less than a thread that frees old views. */
  synchronize_rcu ();
  HS_TSAN_ACQUIRE (box);
  talloc_free (old);
}

void
hs_lists_read_lock (HsListsBox *box)
{
  (void) box;
  rcu_read_lock ();
}

const HsLists *
hs_lists_get (HsListsBox *box)
{
  const HsLists *lists = rcu_dereference (box->lists);

  HS_TSAN_ACQUIRE (&box->lists);
  return lists;
}

void
hs_lists_read_unlock (HsListsBox *box)
{
  HS_TSAN_RELEASE (box);
  rcu_read_unlock ();
}

static int
free_lists (HsListsBox *box)
{
  talloc_free (box->lists);
  return 0;
}
