#include "lists/publish.h"

#include "base/tsan.h"

struct HsPublishedLists
{
  HsLists *lists;
};

static int free_published_lists (HsPublishedLists *published);

HsPublishedLists *
hs_published_lists_new (TALLOC_CTX *ctx)
{
  HsPublishedLists *published = talloc_zero (ctx, HsPublishedLists);

  published->lists = hs_lists_new (NULL);
  talloc_set_destructor (published, free_published_lists);
  return published;
}

void
hs_lists_publish (HsPublishedLists *published, HsLists *lists)
{
  HsLists *old;

  talloc_steal (NULL, lists);
  HS_TSAN_RELEASE (&published->lists);
  old = rcu_xchg_pointer (&published->lists, lists);
  /* Edits are rare and read-side critical sections take microseconds, so that
   * waiting here costs less than a thread that frees old lists. */
  synchronize_rcu ();
  HS_TSAN_ACQUIRE (published);
  talloc_free (old);
}

void
hs_lists_read_lock (HsPublishedLists *published)
{
  (void) published;
  rcu_read_lock ();
}

const HsLists *
hs_published_lists_get (HsPublishedLists *published)
{
  const HsLists *lists = rcu_dereference (published->lists);

  HS_TSAN_ACQUIRE (&published->lists);
  return lists;
}

void
hs_lists_read_unlock (HsPublishedLists *published)
{
  HS_TSAN_RELEASE (published);
  rcu_read_unlock ();
}

static int
free_published_lists (HsPublishedLists *published)
{
  talloc_free (published->lists);
  return 0;
}
