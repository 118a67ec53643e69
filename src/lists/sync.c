#include "lists/sync.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "lists/sync_private.h"

#define RETRY_DELAY_MIN (100 * HS_MSEC)
#define RETRY_DELAY_MAX (2 * HS_SEC)

static int free_sync (HsListsSync *sync);
static void read_list (HsListFollower *follower);
static void on_range (void *arg, const HsStoreReply *reply);
static void on_watch_update (void *arg, const HsStoreWatchUpdate *update);

HsListsSync *
hs_lists_sync_new (TALLOC_CTX *ctx,
                   struct tevent_context *ev,
                   HsStore *store,
                   HsPublishedLists *published,
                   HsListsChangedFunc changed,
                   void *arg)
{
  HsListsSync *sync = talloc_zero (ctx, HsListsSync);
  HsListFollower *follower;
  int kind;

  sync->ev = ev;
  sync->store = store;
  sync->published = published;
  sync->changed = changed;
  sync->arg = arg;
  sync->initial_lists = hs_lists_new (sync);
  talloc_set_destructor (sync, free_sync);
  for (kind = 0; kind < HS_LIST_KINDS; kind++)
    {
      follower = &sync->followers[kind];
      follower->sync = sync;
      follower->kind = (HsListKind) kind;
      follower->retry_delay = RETRY_DELAY_MIN;
      read_list (follower);
    }
  return sync;
}

bool
hs_lists_sync_loaded (const HsListsSync *sync)
{
  return sync->initial_lists == NULL;
}

HsTime
hs_lists_sync_age (const HsListsSync *sync, HsNow now)
{
  HsTime verified_at = now.mono;
  int kind;

  if (!hs_lists_sync_loaded (sync))
    return HS_NEVER;
  for (kind = 0; kind < HS_LIST_KINDS; kind++)
    verified_at = MIN (verified_at, sync->followers[kind].verified_at);
  return now.mono - verified_at;
}

HsListCall *
hs_list_call_new (HsListsSync *sync)
{
  HsListCall *call = talloc_zero (sync->store, HsListCall);

  call->sync = sync;
  call->next = sync->calls;
  if (call->next != NULL)
    call->next->prev = call;
  sync->calls = call;
  return call;
}

bool
hs_list_call_end (HsListCall *call)
{
  HsListsSync *sync = call->sync;

  if (sync != NULL)
    {
      if (call->prev != NULL)
        call->prev->next = call->next;
      else
        sync->calls = call->next;
      if (call->next != NULL)
        call->next->prev = call->prev;
    }
  talloc_free (call);
  return sync != NULL;
}

HsLists *
hs_lists_sync_begin_change (HsListsSync *sync)
{
  if (sync->initial_lists != NULL)
    return sync->initial_lists;
  return hs_lists_copy (sync, hs_published_lists_get (sync->published));
}

void
hs_lists_sync_commit_change (HsListsSync *sync, HsLists *lists)
{
  if (lists == sync->initial_lists)
    return;
  hs_lists_publish (sync->published, lists);
  if (sync->changed != NULL)
    sync->changed (sync->arg, hs_published_lists_get (sync->published));
}

static int
free_sync (HsListsSync *sync)
{
  HsListCall *call;
  int kind;

  for (call = sync->calls; call != NULL; call = call->next)
    call->sync = NULL;
  for (kind = 0; kind < HS_LIST_KINDS; kind++)
    TALLOC_FREE (sync->followers[kind].watch);
  return 0;
}

static void
read_list (HsListFollower *follower)
{
  HsListCall *call = hs_list_call_new (follower->sync);

  call->follower = follower;
  hs_store_range (follower->sync->store, hs_list_prefix (follower->kind), 0,
                  on_range, call);
}

static void
on_retry (struct tevent_context *ev,
          struct tevent_timer *timer,
          struct timeval now,
          void *arg)
{
  (void) ev;
  (void) timer;
  (void) now;
  read_list (arg);
}

static void
read_list_later (HsListFollower *follower)
{
  HsListsSync *sync = follower->sync;
  struct timeval when = tevent_timeval_current_ofs (
      follower->retry_delay / HS_SEC, follower->retry_delay % HS_SEC);

  tevent_add_timer (sync->ev, sync, when, on_retry, follower);
  follower->retry_delay = MIN (2 * follower->retry_delay, RETRY_DELAY_MAX);
}

/** Returns the name of a key's record, or NULL if it is no record's key. */
static const char *
record_name (HsListKind kind, const char *key)
{
  const char *prefix = hs_list_prefix (kind);

  if (!g_str_has_prefix (key, prefix) || !hs_name_valid (key + strlen (prefix)))
    return NULL;
  return key + strlen (prefix);
}

/** Applies a record or a deletion. If malformed, the current record stays. */
static bool
apply_kv (HsLists *lists, HsListKind kind, const HsStoreKv *kv, bool deleted)
{
  g_autoptr (GError) error = NULL;
  const char *name = record_name (kind, kv->key);
  bool changed;

  if (name == NULL)
    {
      hs_warn ("lists", "key %s does not name a list record; delete it",
               kv->key);
      return false;
    }
  if (!deleted && strlen (kv->value) != kv->value_len)
    {
      hs_warn ("lists", "record %s contains a NUL byte; write it again",
               kv->key);
      return false;
    }
  changed = hs_lists_apply (lists, kind, name, deleted ? NULL : kv->value,
                            kv->mod_revision, &error);
  if (error != NULL)
    hs_warn ("lists", "record %s not applied: %s", kv->key, error->message);
  return changed;
}

static int
compare_key (const void *name, const void *kv)
{
  return strcmp (name, (*(const HsStoreKv *const *) kv)->key);
}

static int
compare_kvs (const void *a, const void *b)
{
  return strcmp ((*(const HsStoreKv *const *) a)->key,
                 (*(const HsStoreKv *const *) b)->key);
}

/** Returns the names of the records of one kind up to a revision. */
static const char **
names_up_to_revision (TALLOC_CTX *ctx,
                      const HsLists *lists,
                      HsListKind kind,
                      int64_t revision,
                      size_t *n)
{
  size_t n_plans;
  size_t n_allowances;
  const HsPlan *const *plans = hs_lists_plans (lists, &n_plans);
  const HsAllowance *const *allowances
      = hs_lists_allowances (lists, &n_allowances);
  const char **names
      = talloc_array (ctx, const char *, n_plans + n_allowances + 1);
  size_t i;

  *n = 0;
  if (kind == HS_LIST_PLANS)
    for (i = 0; i < n_plans; i++)
      if (plans[i]->revision <= revision)
        names[(*n)++] = talloc_strdup (names, plans[i]->customer);
  if (kind == HS_LIST_ALLOWANCES)
    for (i = 0; i < n_allowances; i++)
      if (allowances[i]->revision <= revision)
        names[(*n)++] = talloc_strdup (names, allowances[i]->plan);
  return names;
}

/**
 * Deletes the records that a range at a newer revision lacks: they were deleted
 * while there was no watch.
 */
static bool
delete_absent_records (HsLists *lists,
                       HsListKind kind,
                       const HsStoreReply *reply)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  const HsStoreKv **sorted
      = talloc_array (ctx, const HsStoreKv *, reply->n_kvs + 1);
  const char **names;
  bool changed = false;
  size_t n;
  size_t i;

  for (i = 0; i < reply->n_kvs; i++)
    sorted[i] = &reply->kvs[i];
  qsort (sorted, reply->n_kvs, sizeof (HsStoreKv *), compare_kvs);
  names = names_up_to_revision (ctx, lists, kind, reply->revision, &n);
  for (i = 0; i < n; i++)
    {
      const char *key
          = talloc_asprintf (ctx, "%s%s", hs_list_prefix (kind), names[i]);

      if (bsearch (key, sorted, reply->n_kvs, sizeof (HsStoreKv *), compare_key)
          == NULL)
        changed |= hs_lists_apply (lists, kind, names[i], NULL, reply->revision,
                                   NULL);
    }
  talloc_free (ctx);
  return changed;
}

/** Publishes the initial lists once both were read. */
static void
finish_loading (HsListsSync *sync)
{
  HsLists *lists = sync->initial_lists;

  if (lists == NULL || !sync->followers[HS_LIST_PLANS].loaded
      || !sync->followers[HS_LIST_ALLOWANCES].loaded)
    return;
  sync->initial_lists = NULL;
  hs_info ("lists", "loaded at revision %" G_GINT64_FORMAT,
           hs_lists_revision (lists));
  hs_lists_sync_commit_change (sync, lists);
}

static void
apply_range (HsListFollower *follower, const HsStoreReply *reply)
{
  HsListsSync *sync = follower->sync;
  HsLists *lists = hs_lists_sync_begin_change (sync);
  size_t i;

  for (i = 0; i < reply->n_kvs; i++)
    apply_kv (lists, follower->kind, &reply->kvs[i], false);
  delete_absent_records (lists, follower->kind, reply);
  hs_lists_advance_revision (lists, reply->revision);
  follower->loaded = true;
  follower->verified_at = hs_now ().mono;
  follower->retry_delay = RETRY_DELAY_MIN;
  if (lists == sync->initial_lists)
    finish_loading (sync);
  else
    hs_lists_sync_commit_change (sync, lists);
}

static void
on_range (void *arg, const HsStoreReply *reply)
{
  HsListCall *call = arg;
  HsListFollower *follower = call->follower;
  HsListsSync *sync = call->sync;

  if (!hs_list_call_end (call))
    return;
  if (reply->status != HS_STORE_OK || reply->more)
    {
      read_list_later (follower);
      return;
    }
  if (reply->revision < sync->max_seen_revision)
    {
      hs_debug ("lists", "ignored a stale range reply; reading again");
      read_list_later (follower);
      return;
    }
  sync->max_seen_revision = reply->revision;
  apply_range (follower, reply);
  TALLOC_FREE (follower->watch);
  follower->watch
      = hs_store_watch (sync->store, hs_list_prefix (follower->kind),
                        reply->revision + 1, on_watch_update, follower);
}

static void
apply_events (HsListFollower *follower, const HsStoreWatchUpdate *update)
{
  HsListsSync *sync = follower->sync;
  HsLists *lists = hs_lists_sync_begin_change (sync);
  size_t i;

  for (i = 0; i < update->n_events; i++)
    apply_kv (lists, follower->kind, &update->events[i].kv,
              update->events[i].deleted);
  hs_lists_advance_revision (lists, update->revision);
  hs_lists_sync_commit_change (sync, lists);
}

static void
on_watch_update (void *arg, const HsStoreWatchUpdate *update)
{
  HsListFollower *follower = arg;
  HsListsSync *sync = follower->sync;

  switch (update->kind)
    {
    case HS_STORE_WATCH_EVENTS:
      apply_events (follower, update);
      break;
    case HS_STORE_WATCH_PROGRESS:
      /* A reconnected watch repeats its revision, which verifies nothing. */
      if (update->revision <= sync->max_seen_revision)
        return;
      break;
    case HS_STORE_WATCH_COMPACTED:
      TALLOC_FREE (follower->watch);
      read_list (follower);
      return;
    case HS_STORE_WATCH_DISCONNECTED:
    default:
      return;
    }
  sync->max_seen_revision = MAX (sync->max_seen_revision, update->revision);
  follower->verified_at = hs_now ().mono;
}
