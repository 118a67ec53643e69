#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "lists/publish.h"

#define READERS 4
#define EDITS 200

typedef struct
{
  HsListsBox *box;
  atomic_bool stop;
  atomic_uint running;
  atomic_uint wrong;
} Shared;

/** Every edit writes both records, so that a reader has to see both alike. */
static void *
read_lists (void *arg)
{
  Shared *shared = arg;
  const HsLists *lists;
  const HsPlan *first;
  const HsPlan *second;
  int64_t last = 0;

  rcu_register_thread ();
  atomic_fetch_add (&shared->running, 1);
  while (!atomic_load (&shared->stop))
    {
      hs_lists_read_lock (shared->box);
      lists = hs_lists_get (shared->box);
      first = hs_lists_plan (lists, "a");
      second = hs_lists_plan (lists, "b");
      if ((first == NULL) != (second == NULL)
          || (first != NULL && strcmp (first->plan, second->plan) != 0)
          || hs_lists_revision (lists) < last)
        atomic_fetch_add (&shared->wrong, 1);
      last = hs_lists_revision (lists);
      hs_lists_read_unlock (shared->box);
    }
  rcu_unregister_thread ();
  return NULL;
}

static void
publish_edit (HsListsBox *box, int64_t edit)
{
  HsLists *lists = hs_lists_copy (NULL, hs_lists_get (box));
  g_autofree char *json = g_strdup_printf ("{\"plan\":\"p%d\"}", (int) edit);

  hs_lists_apply (lists, HS_LIST_PLANS, "a", json, 2 * edit, NULL);
  hs_lists_apply (lists, HS_LIST_PLANS, "b", json, 2 * edit + 1, NULL);
  hs_lists_publish (box, lists);
}

static void
readers_see_whole_views_in_order (void **state)
{
  Shared shared = { .box = hs_lists_box_new (NULL) };
  pthread_t readers[READERS];
  int64_t edit;
  int i;

  (void) state;
  for (i = 0; i < READERS; i++)
    assert_int_equal (pthread_create (&readers[i], NULL, read_lists, &shared),
                      0);
  while (atomic_load (&shared.running) < READERS)
    ;
  for (edit = 1; edit <= EDITS; edit++)
    publish_edit (shared.box, edit);
  atomic_store (&shared.stop, true);
  for (i = 0; i < READERS; i++)
    pthread_join (readers[i], NULL);
  assert_int_equal (atomic_load (&shared.wrong), 0);
  assert_int_equal (hs_lists_revision (hs_lists_get (shared.box)),
                    2 * EDITS + 1);
  talloc_free (shared.box);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (readers_see_whole_views_in_order),
  };

  rcu_register_thread ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
