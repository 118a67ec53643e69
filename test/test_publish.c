#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "lists/publish.h"

#define N_READERS 4
#define N_EDITS 200

typedef struct
{
  HsPublishedLists *published;
  atomic_bool stop;
  atomic_uint n_running;
  atomic_uint n_inconsistent;
} Shared;

/** Each edit writes both records alike, so that readers must see them equal. */
static void *
read_lists (void *arg)
{
  Shared *shared = arg;
  const HsLists *lists;
  const HsPlan *first;
  const HsPlan *second;
  int64_t last = 0;

  rcu_register_thread ();
  atomic_fetch_add (&shared->n_running, 1);
  while (!atomic_load (&shared->stop))
    {
      hs_lists_read_lock (shared->published);
      lists = hs_published_lists_get (shared->published);
      first = hs_lists_plan (lists, "a");
      second = hs_lists_plan (lists, "b");
      if ((first == NULL) != (second == NULL)
          || (first != NULL && strcmp (first->plan, second->plan) != 0)
          || hs_lists_revision (lists) < last)
        atomic_fetch_add (&shared->n_inconsistent, 1);
      last = hs_lists_revision (lists);
      hs_lists_read_unlock (shared->published);
    }
  rcu_unregister_thread ();
  return NULL;
}

static void
publish_edit (HsPublishedLists *published, int64_t edit)
{
  HsLists *lists = hs_lists_copy (NULL, hs_published_lists_get (published));
  g_autofree char *json = g_strdup_printf ("{\"plan\":\"p%d\"}", (int) edit);

  hs_lists_apply (lists, HS_LIST_PLANS, "a", json, 2 * edit, NULL);
  hs_lists_apply (lists, HS_LIST_PLANS, "b", json, 2 * edit + 1, NULL);
  hs_lists_publish (published, lists);
}

static void
readers_see_consistent_lists_in_order (void **state)
{
  Shared shared = { .published = hs_published_lists_new (NULL) };
  pthread_t readers[N_READERS];
  int64_t edit;
  int i;

  (void) state;
  for (i = 0; i < N_READERS; i++)
    assert_int_equal (pthread_create (&readers[i], NULL, read_lists, &shared),
                      0);
  while (atomic_load (&shared.n_running) < N_READERS)
    ;
  for (edit = 1; edit <= N_EDITS; edit++)
    publish_edit (shared.published, edit);
  atomic_store (&shared.stop, true);
  for (i = 0; i < N_READERS; i++)
    pthread_join (readers[i], NULL);
  assert_int_equal (atomic_load (&shared.n_inconsistent), 0);
  assert_int_equal (
      hs_lists_revision (hs_published_lists_get (shared.published)),
      2 * N_EDITS + 1);
  talloc_free (shared.published);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (readers_see_consistent_lists_in_order),
  };

  rcu_register_thread ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
