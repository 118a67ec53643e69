/* Watches of the store; replaces store/watch.c. */

#include <string.h>

#include "mutants.h"
#include "stores_private.h"

/** Delay before a broken watch connects again. */
#define RECONNECT_DELAY (300 * HS_MSEC)

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
static void deliver_events (HsStoreWatch *watch, const GPtrArray *events);

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
  watch->poll = sim_schedule (sim_now () + STORE_DELAY, store->proc, on_poll,
                              watch, false);
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
            watch->poll = sim_schedule (sim_now () + STORE_DELAY, store->proc,
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
  HsStoreWatchUpdate update = { .kind = HS_STORE_WATCH_DISCONNECTED };
  g_autoptr (GPtrArray) events = g_ptr_array_new ();

  watch->poll = NULL;
  if (store_faults.watch_cut_until > now || store_faults.down_until > now)
    {
      watch->poll
          = sim_schedule (now + RECONNECT_DELAY, proc, on_poll, watch, false);
      if (watch->cut)
        return;
      watch->cut = true;
      watch->func (watch->arg, &update);
      return;
    }
  watch->cut = false;
  if (watch->next_revision > hs_kv_revision (world.kv))
    return;
  update.revision = hs_kv_revision (world.kv);
  update.kind = HS_STORE_WATCH_COMPACTED;
  if (hs_kv_history (world.kv, &span, watch->next_revision, events)
      == HS_KV_COMPACTED)
    watch->func (watch->arg, &update);
  else if (events->len > 0)
    deliver_events (watch, events);
}

static void
deliver_events (HsStoreWatch *watch, const GPtrArray *events)
{
  Proc *proc = watch->store->proc;
  uint32_t incarnation = proc->incarnation;
  HsStoreEvent *delivered;
  HsStoreWatchUpdate update
      = { .kind = HS_STORE_WATCH_EVENTS, .n_events = events->len };
  guint i;

  if (!fault_before (STEP_WATCH, proc, NULL, NULL))
    return;
  if (store_faults.watch_cut_until > sim_now ())
    {
      watch->poll = sim_schedule (sim_now (), proc, on_poll, watch, false);
      return;
    }
  delivered = talloc_zero_array (NULL, HsStoreEvent, events->len);
  for (i = 0; i < events->len; i++)
    {
      const HsKvEvent *event = events->pdata[i];
      const HsKvRecord *record
          = event->current != NULL ? event->current : event->previous;
      HsStoreKv *kv = &delivered[i].kv;

      delivered[i].deleted = event->current == NULL;
      kv->key = talloc_strdup (delivered, record->key);
      kv->value = talloc_strndup (delivered, record->value, record->value_len);
      kv->value_len = record->value_len;
      kv->create_revision = record->create_revision;
      kv->mod_revision = event->revision;
      kv->lease = record->lease;
      update.revision = event->revision;
    }
  update.events = delivered;
  watch->next_revision = update.revision + 1;
  if (!mutant_is_active (MUTANT_STALE)
      || !g_str_has_prefix (watch->prefix, "hs/allowance/"))
    watch->func (watch->arg, &update);
  talloc_free (delivered);
  if (proc->incarnation == incarnation)
    fault_after (STEP_WATCH, proc, NULL, NULL);
}
