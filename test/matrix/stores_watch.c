/* Watches of the store: in place of store/watch.c. */

#include <string.h>

#include "mutants.h"
#include "stores_private.h"

/** Pause before a cut watch is dialled again. */
#define REDIAL_PAUSE (300 * HS_MSEC)

struct HsStoreWatch
{
  HsStore *store;
  char *prefix;
  char *end;
  int64_t next_revision;
  HsStoreWatchFunc func;
  void *arg;
  SimEvent *poll;
  bool cut;
};

static int watch_destructor (HsStoreWatch *watch);
static void on_poll (void *arg);
static void tell_events (HsStoreWatch *watch, const GPtrArray *events);

HsStoreWatch *
hs_store_watch (HsStore *store,
                const char *prefix,
                int64_t start_revision,
                HsStoreWatchFunc func,
                void *arg)
{
  HsStoreWatch *watch = talloc_zero (store, HsStoreWatch);

  watch->store = store;
  watch->prefix = talloc_strdup (watch, prefix);
  watch->end = store_prefix_end (watch, prefix);
  watch->next_revision = start_revision;
  watch->func = func;
  watch->arg = arg;
  g_ptr_array_add (store->watches, watch);
  talloc_set_destructor (watch, watch_destructor);
  watch->poll
      = sim_at (sim_now () + STORE_DELAY, store->proc, on_poll, watch, false);
  return watch;
}

void
store_end_watches (HsStore *store)
{
  guint i;

  for (i = 0; i < store->watches->len; i++)
    {
      HsStoreWatch *watch = store->watches->pdata[i];

      talloc_set_destructor (watch, NULL);
      if (watch->poll != NULL)
        sim_cancel (watch->poll);
    }
}

void
store_poll_all (void)
{
  uint32_t i;
  guint w;

  for (i = 0; i < WORLD_ENTRIES; i++)
    {
      HsStore *store = world_entry (i)->store;

      for (w = 0; store != NULL && w < store->watches->len; w++)
        {
          HsStoreWatch *watch = store->watches->pdata[w];

          if (watch->poll == NULL)
            watch->poll = sim_at (sim_now () + STORE_DELAY, store->proc,
                                  on_poll, watch, false);
        }
    }
}

static int
watch_destructor (HsStoreWatch *watch)
{
  if (watch->poll != NULL)
    sim_cancel (watch->poll);
  g_ptr_array_remove_fast (watch->store->watches, watch);
  return 0;
}

static void
on_poll (void *arg)
{
  HsStoreWatch *watch = arg;
  Proc *proc = watch->store->proc;
  HsTime now = sim_now ();
  HsKvRange span = { watch->prefix, watch->end };
  HsStoreWatchUpdate note = { .kind = HS_STORE_WATCH_DISCONNECTED };
  g_autoptr (GPtrArray) events = g_ptr_array_new ();

  watch->poll = NULL;
  if (store_mood.cut_until > now || store_mood.down_until > now)
    {
      watch->poll = sim_at (now + REDIAL_PAUSE, proc, on_poll, watch, false);
      if (watch->cut)
        return;
      watch->cut = true;
      watch->func (watch->arg, &note);
      return;
    }
  watch->cut = false;
  if (watch->next_revision > hs_kv_revision (world.kv))
    return;
  note.revision = hs_kv_revision (world.kv);
  note.kind = HS_STORE_WATCH_COMPACTED;
  if (hs_kv_history (world.kv, &span, watch->next_revision, events)
      == HS_KV_COMPACTED)
    watch->func (watch->arg, &note);
  else if (events->len > 0)
    tell_events (watch, events);
}

static void
tell_events (HsStoreWatch *watch, const GPtrArray *events)
{
  Proc *proc = watch->store->proc;
  uint32_t life = proc->life;
  HsStoreEvent *told;
  HsStoreWatchUpdate note
      = { .kind = HS_STORE_WATCH_EVENTS, .n_events = events->len };
  guint i;

  if (!fault_before (STEP_WATCH, proc, NULL, NULL))
    return;
  if (store_mood.cut_until > sim_now ())
    {
      watch->poll = sim_at (sim_now (), proc, on_poll, watch, false);
      return;
    }
  told = talloc_zero_array (NULL, HsStoreEvent, events->len);
  for (i = 0; i < events->len; i++)
    {
      const HsKvEvent *event = events->pdata[i];
      const HsKvRecord *record
          = event->current != NULL ? event->current : event->previous;
      HsStoreKv *kv = &told[i].kv;

      told[i].deleted = event->current == NULL;
      kv->key = talloc_strdup (told, record->key);
      kv->value = talloc_strndup (told, record->value, record->value_len);
      kv->value_len = record->value_len;
      kv->create_revision = record->create_revision;
      kv->mod_revision = event->revision;
      kv->lease = record->lease;
      note.revision = event->revision;
    }
  note.events = told;
  watch->next_revision = note.revision + 1;
  if (!mutant_is (MUTANT_STALE)
      || !g_str_has_prefix (watch->prefix, "hs/allowance/"))
    watch->func (watch->arg, &note);
  talloc_free (told);
  if (proc->life == life)
    fault_after (STEP_WATCH, proc, NULL, NULL);
}
