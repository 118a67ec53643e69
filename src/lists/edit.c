/**
 * @file
 * Edits records of the lists by compare-and-swap, and finds out whether an edit
 * whose reply was lost was applied.
 */
#include <string.h>

#include "lists/sync_private.h"

/** Attempts after which an edit ends as HS_LIST_EDIT_UNKNOWN. */
#define ATTEMPTS_MAX 5
#define RETRY_DELAY (200 * HS_MSEC)

struct HsListEdit
{
  HsListsSync *sync;
  HsListKind kind;
  char *name;
  char *key;
  char *json; /**< NULL: a deletion. */
  int64_t expected_revision;
  unsigned int attempts;
  bool maybe_applied; /**< An earlier attempt may have been applied. */
  HsListEditDoneFunc done;
  void *arg;
};

static void start_edit (HsListsSync *sync,
                        HsListKind kind,
                        const char *name,
                        const char *json,
                        int64_t expected_revision,
                        HsListEditDoneFunc done,
                        void *arg);
static void send_edit (HsListEdit *edit);
static void on_txn_reply (void *arg, const HsStoreReply *reply);

void
hs_lists_sync_put (HsListsSync *sync,
                   HsListKind kind,
                   const char *name,
                   const char *json,
                   int64_t expected_revision,
                   HsListEditDoneFunc done,
                   void *arg)
{
  start_edit (sync, kind, name, json, expected_revision, done, arg);
}

void
hs_lists_sync_delete (HsListsSync *sync,
                      HsListKind kind,
                      const char *name,
                      int64_t expected_revision,
                      HsListEditDoneFunc done,
                      void *arg)
{
  start_edit (sync, kind, name, NULL, expected_revision, done, arg);
}

static void
start_edit (HsListsSync *sync,
            HsListKind kind,
            const char *name,
            const char *json,
            int64_t expected_revision,
            HsListEditDoneFunc done,
            void *arg)
{
  HsListEdit *edit = talloc_zero (sync, HsListEdit);

  edit->sync = sync;
  edit->kind = kind;
  edit->name = talloc_strdup (edit, name);
  edit->key = talloc_asprintf (edit, "%s%s", hs_list_prefix (kind), name);
  if (json != NULL)
    edit->json = talloc_strdup (edit, json);
  edit->expected_revision = expected_revision;
  edit->done = done;
  edit->arg = arg;
  send_edit (edit);
}

static void
send_edit (HsListEdit *edit)
{
  HsListCall *call = hs_list_call_new (edit->sync);
  HsStoreCompare compare
      = { .key = edit->key, .mod_revision = edit->expected_revision };
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
  hs_store_txn (edit->sync->store, &txn, on_txn_reply, call);
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
  send_edit (arg);
}

/** Frees the edit and reports its outcome. */
static void
finish (HsListEdit *edit,
        HsListEditOutcome outcome,
        int64_t revision,
        const char *current)
{
  HsListEditResult result
      = { .outcome = outcome, .revision = revision, .current = current };
  HsListEditDoneFunc done = edit->done;
  void *arg = edit->arg;

  talloc_free (edit);
  done (arg, &result);
}

/** Publishes an applied edit at once, before the watch reports it. */
static void
finish_applied (HsListEdit *edit, int64_t revision)
{
  HsListsSync *sync = edit->sync;
  HsLists *lists = hs_lists_sync_begin_change (sync);

  hs_lists_apply (lists, edit->kind, edit->name, edit->json, revision, NULL);
  hs_lists_sync_commit_change (sync, lists);
  finish (edit, HS_LIST_EDIT_APPLIED, revision, NULL);
}

/** Returns whether the stored record is as this edit would leave it. */
static bool
record_matches_edit (const HsListEdit *edit, const HsStoreKv *current)
{
  if (current == NULL || edit->json == NULL)
    return current == NULL && edit->json == NULL;
  return strlen (edit->json) == current->value_len
         && memcmp (edit->json, current->value, current->value_len) == 0;
}

/**
 * Handles a failed compare. After a lost reply an earlier attempt of this edit
 * may be the reason; if the stored record differs from the edit, that attempt
 * may have been applied and then overwritten.
 */
static void
handle_failed_compare (HsListEdit *edit, const HsStoreReply *reply)
{
  const HsStoreKv *current = reply->n_kvs > 0 ? &reply->kvs[0] : NULL;
  int64_t revision = current != NULL ? current->mod_revision : 0;
  const char *json = current != NULL ? current->value : NULL;

  if (!edit->maybe_applied)
    finish (edit, HS_LIST_EDIT_CONFLICT, revision, json);
  else if (record_matches_edit (edit, current))
    finish_applied (edit, current != NULL ? revision : reply->revision);
  else
    finish (edit, HS_LIST_EDIT_UNKNOWN, revision, json);
}

static void
on_txn_reply (void *arg, const HsStoreReply *reply)
{
  HsListCall *call = arg;
  HsListEdit *edit = call->edit;
  struct timeval when;

  if (!hs_list_call_end (call))
    return;
  if (reply->status == HS_STORE_OK)
    {
      edit->sync->max_seen_revision
          = MAX (edit->sync->max_seen_revision, reply->revision);
      if (reply->succeeded)
        finish_applied (edit, reply->revision);
      else
        handle_failed_compare (edit, reply);
      return;
    }
  edit->maybe_applied |= reply->status == HS_STORE_UNKNOWN;
  if (!edit->maybe_applied)
    {
      finish (edit, HS_LIST_EDIT_NOT_APPLIED, 0, NULL);
      return;
    }
  if (edit->attempts == ATTEMPTS_MAX)
    {
      finish (edit, HS_LIST_EDIT_UNKNOWN, 0, NULL);
      return;
    }
  when = tevent_timeval_current_ofs (0, RETRY_DELAY);
  tevent_add_timer (edit->sync->ev, edit, when, on_retry, edit);
}
