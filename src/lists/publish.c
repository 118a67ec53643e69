#include "lists/publish.h"

#include "base/tsan.h"

typedef struct View View;

struct HsListsBox
{
  View *view;
};

/** A published view; the lists are its talloc child. */
struct View
{
  struct rcu_head head;
  HsLists *lists;
  HsListsBox *box;
};

static View *new_view (HsListsBox *box, HsLists *lists);
static int free_box (HsListsBox *box);
static void free_view (struct rcu_head *head);

HsListsBox *
hs_lists_box_new (TALLOC_CTX *ctx)
{
  HsListsBox *box = talloc_zero (ctx, HsListsBox);

  box->view = new_view (box, hs_lists_new (NULL));
  talloc_set_destructor (box, free_box);
  return box;
}

void
hs_lists_publish (HsListsBox *box, HsLists *lists)
{
  View *view = new_view (box, lists);
  View *old;

  HS_TSAN_RELEASE (&box->view);
  old = rcu_xchg_pointer (&box->view, view);
  HS_TSAN_RELEASE (old);
  call_rcu (&old->head, free_view);
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
  View *view = rcu_dereference (box->view);

  HS_TSAN_ACQUIRE (&box->view);
  return view->lists;
}

void
hs_lists_read_unlock (HsListsBox *box)
{
  HS_TSAN_RELEASE (box);
  rcu_read_unlock ();
}

static View *
new_view (HsListsBox *box, HsLists *lists)
{
  View *view = talloc_zero (NULL, View);

  view->box = box;
  view->lists = talloc_steal (view, lists);
  return view;
}

static void
free_view (struct rcu_head *head)
{
  View *view = caa_container_of (head, View, head);

  HS_TSAN_ACQUIRE (view);
  HS_TSAN_ACQUIRE (view->box);
  talloc_free (view);
}

static int
free_box (HsListsBox *box)
{
  rcu_barrier ();
  talloc_free (box->view);
  return 0;
}
