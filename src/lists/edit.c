/**
 * @file
 * Edits of the lists by compare-and-swap, and the settling of lost answers.
 */
#include <string.h>

#include "lists/sync_private.h"

/** Tries until an outcome that could not be settled is told as unknown. */
#define ATTEMPTS 5
#define RETRY_DELAY (200 * HS_MSEC)

struct HsListEdit
{
  HsListsSync *sync;
  HsListKind kind;
  char *name;
  char *key;
  char *json; /**< NULL: a deletion. */
  int64_t expected;
  unsigned int attempts;
  bool lost; /**< An earlier try may have been applied. */
  HsEditDone done;
  void *arg;
};

static void start_edit (HsListsSync *sync,
                        HsListKind kind,
                        const char *name,
                        const char *json,
                        int64_t expected,
                        HsEditDone done,
                        void *arg);
static void try_edit (HsListEdit *edit);
static void on_txn (void *arg, const HsStoreReply *reply);

void
hs_lists_sync_put (HsListsSync *sync,
                   HsListKind kind,
                   const char *name,
                   const char *json,
                   int64_t expected,
                   HsEditDone done,
                   void *arg)
{
  start_edit (sync, kind, name, json, expected, done, arg);
}

void
hs_lists_sync_delete (HsListsSync *sync,
                      HsListKind kind,
                      const char *name,
                      int64_t expected,
                      HsEditDone done,
                      void *arg)
{
  start_edit (sync, kind, name, NULL, expected, done, arg);
}

static void
start_edit (HsListsSync *sync,
            HsListKind kind,
            const char *name,
            const char *json,
            int64_t expected,
            HsEditDone done,
            void *arg)
{
  HsListEdit *edit = talloc_zero (sync, HsListEdit);

  edit->sync = sync;
  edit->kind = kind;
  edit->name = talloc_strdup (edit, name);
  edit->key = talloc_asprintf (edit, "%s%s", hs_list_prefix (kind), name);
  if (json != NULL)
    edit->json = talloc_strdup (edit, json);
  edit->expected = expected;
  edit->done = done;
  edit->arg = arg;
  try_edit (edit);
}

static void
try_edit (HsListEdit *edit)
{
  HsListCall *call = hs_list_call_new (edit->sync);
  HsStoreCompare compare = { .key = edit->key, .mod_revision = edit->expected };
  HsStoreOp write
      = { .kind = edit->json != NULL ? HS_STORE_PUT : HS_STORE_DELETE,
          .key = edit->key,
          .value = edit->json };
  HsStoreOp read = { .kind = HS_STORE_RANGE, .key = edit->key };
  HsStoreTxn txn = { .n_compares = 1,
                     .compares = &compare,
                     .n_success = 1,
                     .success = &write,
                     .n_failure = 1,
                     .failure = &read };

  call->edit = edit;
  edit->attempts++;
  hs_store_txn (edit->sync->store, &txn, on_txn, call);
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
  try_edit (arg);
}

/** Tells the outcome and frees the edit. */
static void
finish (HsListEdit *edit,
        HsEditOutcome outcome,
        int64_t revision,
        const char *present)
{
  HsEditResult result
      = { .outcome = outcome, .revision = revision, .present = present };
  HsEditDone done = edit->done;
  void *arg = edit->arg;

  talloc_free (edit);
  done (arg, &result);
}

/** An applied edit is in force here at once, not only by the watch. */
static void
finish_applied (HsListEdit *edit, int64_t revision)
{
  HsListsSync *sync = edit->sync;
  HsLists *lists = hs_lists_sync_begin (sync);

  hs_lists_apply (lists, edit->kind, edit->name, edit->json, revision, NULL);
  hs_lists_sync_commit (sync, lists);
  finish (edit, HS_EDIT_APPLIED, revision, NULL);
}

/** True if the store holds what this edit asks for. */
static bool
holds_edit (const HsListEdit *edit, const HsStoreKv *present)
{
  if (present == NULL || edit->json == NULL)
    return present == NULL && edit->json == NULL;
  return strlen (edit->json) == present->value_len
         && memcmp (edit->json, present->value, present->value_len) == 0;
}

/**
 * The compare failed. After a lost answer that may be this edit's own doing;
 * if the store then holds something else, it may have been overwritten.
 */
static void
settle (HsListEdit *edit, const HsStoreReply *reply)
{
  const HsStoreKv *present = reply->n_kvs > 0 ? &reply->kvs[0] : NULL;
  int64_t revision = present != NULL ? present->mod_revision : 0;
  const char *json = present != NULL ? present->value : NULL;

  if (!edit->lost)
    finish (edit, HS_EDIT_CONFLICT, revision, json);
  else if (holds_edit (edit, present))
    finish_applied (edit, present != NULL ? revision : reply->revision);
  else
    finish (edit, HS_EDIT_UNKNOWN, revision, json);
}

static void
on_txn (void *arg, const HsStoreReply *reply)
{
  HsListCall *call = arg;
  HsListEdit *edit = call->edit;
  struct timeval when;

  if (!hs_list_call_end (call))
    return;
  if (reply->status == HS_STORE_OK)
    {
      edit->sync->seen = MAX (edit->sync->seen, reply->revision);
      if (reply->succeeded)
        finish_applied (edit, reply->revision);
      else
        settle (edit, reply);
      return;
    }
  edit->lost |= reply->status == HS_STORE_UNKNOWN;
  if (!edit->lost)
    {
      finish (edit, HS_EDIT_NOT_APPLIED, 0, NULL);
      return;
    }
  if (edit->attempts == ATTEMPTS)
    {
      finish (edit, HS_EDIT_UNKNOWN, 0, NULL);
      return;
    }
  when = tevent_timeval_current_ofs (0, RETRY_DELAY);
  tevent_add_timer (edit->sync->ev, edit, when, on_retry, edit);
}
