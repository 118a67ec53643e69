#include "kv.h"

#include <string.h>

/* Longer history is compacted automatically, to bound the memory of long
   runs. */
#define HISTORY_EVENTS_MAX 200000u

typedef struct
{
  int64_t id;
  int64_t ttl_s;
  HsTime expiry;
  GHashTable *keys; /* Set of char *, owned. */
} Lease;

struct HsKv
{
  int64_t revision;
  int64_t compacted; /* Oldest revision that can be read. */
  int64_t next_lease;
  GTree *records;     /* char * to HsKvRecord *. */
  GQueue events;      /* HsKvEvent *, oldest first. */
  GHashTable *leases; /* int64_t * to Lease *. */
};

static int free_kv (HsKv *kv);
static void release_record (void *record);
static void free_event (void *event);
static void free_lease (void *lease);
static bool range_contains (const HsKvRange *range, const char *key);
static void
log_event (HsKv *kv, const HsKvRecord *current, const HsKvRecord *previous);
static void put (HsKv *kv, const HsKvOp *op, int64_t revision);
static int64_t delete_range (HsKv *kv, const HsKvRange *range);
static GPtrArray *
records_at (HsKv *kv, const HsKvRange *range, int64_t revision);
static HsKvStatus check_ops (HsKv *kv, const HsKvOp *ops, size_t n_ops);
static void remove_lease (HsKv *kv, Lease *lease);

static int
compare_keys (const void *a, const void *b, void *arg)
{
  (void) arg;
  return strcmp (a, b);
}

HsKv *
hs_kv_new (TALLOC_CTX *ctx)
{
  HsKv *kv = talloc_zero (ctx, HsKv);

  kv->revision = 1;
  kv->compacted = 1;
  kv->next_lease = 1000;
  kv->records = g_tree_new_full (compare_keys, NULL, NULL, release_record);
  g_queue_init (&kv->events);
  kv->leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_lease);
  talloc_set_destructor (kv, free_kv);
  return kv;
}

int64_t
hs_kv_revision (const HsKv *kv)
{
  return kv->revision;
}

int64_t
hs_kv_compact_revision (const HsKv *kv)
{
  return kv->compacted;
}

static Lease *
first_expired (HsKv *kv, HsTime now)
{
  GHashTableIter iter;
  void *value;
  Lease *first = NULL;

  g_hash_table_iter_init (&iter, kv->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Lease *lease = value;

      if (lease->expiry > now)
        continue;
      if (first == NULL || lease->expiry < first->expiry
          || (lease->expiry == first->expiry && lease->id < first->id))
        first = lease;
    }
  return first;
}

void
hs_kv_expire_leases (HsKv *kv, HsTime now)
{
  Lease *lease;

  while ((lease = first_expired (kv, now)) != NULL)
    remove_lease (kv, lease);
}

HsTime
hs_kv_next_expiry (const HsKv *kv)
{
  GHashTableIter iter;
  void *value;
  HsTime next = HS_NEVER;

  g_hash_table_iter_init (&iter, kv->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    next = MIN (next, ((Lease *) value)->expiry);
  return next;
}

const HsKvRecord *
hs_kv_get (HsKv *kv, const char *key)
{
  return g_tree_lookup (kv->records, key);
}

HsKvStatus
hs_kv_range (HsKv *kv,
             const HsKvRange *range,
             int64_t revision,
             int64_t limit,
             HsKvOpResult *result)
{
  memset (result, 0, sizeof *result);
  if (revision > kv->revision)
    return HS_KV_FUTURE;
  if (revision != 0 && revision < kv->compacted)
    return HS_KV_COMPACTED;
  result->records
      = records_at (kv, range, revision == 0 ? INT64_MAX : revision);
  if (limit > 0 && (int64_t) result->records->len > limit)
    {
      g_ptr_array_set_size (result->records, (int) limit);
      result->more = true;
    }
  return HS_KV_OK;
}

HsKvStatus
hs_kv_apply (HsKv *kv, const HsKvOp *ops, size_t n_ops, HsKvOpResult *results)
{
  HsKvStatus status = check_ops (kv, ops, n_ops);
  int64_t revision = kv->revision + 1;
  bool changed = false;
  size_t i;

  memset (results, 0, n_ops * sizeof *results);
  if (status != HS_KV_OK)
    return status;
  for (i = 0; i < n_ops; i++)
    switch (ops[i].kind)
      {
      case HS_KV_PUT:
        put (kv, &ops[i], revision);
        changed = true;
        break;
      case HS_KV_DELETE:
        results[i].deleted = delete_range (kv, &ops[i].range);
        changed = changed || results[i].deleted > 0;
        break;
      case HS_KV_RANGE:
        hs_kv_range (kv, &ops[i].range, 0, ops[i].limit, &results[i]);
        break;
      }
  if (changed)
    kv->revision = revision;
  return HS_KV_OK;
}

int64_t
hs_kv_lease_grant (HsKv *kv, int64_t id, int64_t ttl_s, HsTime now)
{
  Lease *lease = g_new0 (Lease, 1);

  lease->id = id != 0 ? id : kv->next_lease++;
  lease->ttl_s = ttl_s;
  lease->expiry = now + ttl_s * HS_SEC;
  lease->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_replace (kv->leases, &lease->id, lease);
  return lease->id;
}

int64_t
hs_kv_lease_keepalive (HsKv *kv, int64_t id, HsTime now)
{
  Lease *lease = g_hash_table_lookup (kv->leases, &id);

  if (lease == NULL)
    return 0;
  lease->expiry = now + lease->ttl_s * HS_SEC;
  return lease->ttl_s;
}

HsKvStatus
hs_kv_lease_revoke (HsKv *kv, int64_t id)
{
  Lease *lease = g_hash_table_lookup (kv->leases, &id);

  if (lease == NULL)
    return HS_KV_NO_LEASE;
  remove_lease (kv, lease);
  return HS_KV_OK;
}

HsKvStatus
hs_kv_history (HsKv *kv,
               const HsKvRange *range,
               int64_t revision,
               GPtrArray *events)
{
  GList *link;
  GList *first = NULL;

  if (revision < kv->compacted)
    return HS_KV_COMPACTED;
  for (link = kv->events.tail; link != NULL; link = link->prev)
    {
      if (((HsKvEvent *) link->data)->revision < revision)
        break;
      first = link;
    }
  for (link = first; link != NULL; link = link->next)
    {
      HsKvEvent *event = link->data;
      const char *key
          = event->current != NULL ? event->current->key : event->previous->key;

      if (range_contains (range, key))
        g_ptr_array_add (events, event);
    }
  return HS_KV_OK;
}

void
hs_kv_compact (HsKv *kv, int64_t revision)
{
  if (revision == 0 || revision > kv->revision)
    revision = kv->revision;
  kv->compacted = MAX (kv->compacted, revision);
  while (kv->events.head != NULL
         && ((HsKvEvent *) kv->events.head->data)->revision < kv->compacted)
    free_event (g_queue_pop_head (&kv->events));
}

static int
free_kv (HsKv *kv)
{
  g_queue_clear_full (&kv->events, free_event);
  g_hash_table_destroy (kv->leases);
  g_tree_destroy (kv->records);
  return 0;
}

static void
clear_record (void *arg)
{
  HsKvRecord *record = arg;

  g_free (record->key);
  g_free (record->value);
}

static void
release_record (void *record)
{
  if (record != NULL)
    g_rc_box_release_full (record, clear_record);
}

static void
free_event (void *arg)
{
  HsKvEvent *event = arg;

  release_record ((void *) event->current);
  release_record ((void *) event->previous);
  g_free (event);
}

static void
free_lease (void *arg)
{
  Lease *lease = arg;

  g_hash_table_destroy (lease->keys);
  g_free (lease);
}

static bool
range_contains (const HsKvRange *range, const char *key)
{
  if (range->end == NULL)
    return strcmp (key, range->key) == 0;
  return strcmp (key, range->key) >= 0
         && (*range->end == '\0' || strcmp (key, range->end) < 0);
}

static const HsKvRecord *
acquire_record (const HsKvRecord *record)
{
  return record == NULL ? NULL : g_rc_box_acquire ((void *) record);
}

static void
log_event (HsKv *kv, const HsKvRecord *current, const HsKvRecord *previous)
{
  HsKvEvent *event = g_new0 (HsKvEvent, 1);

  event->revision = kv->revision + 1;
  event->current = acquire_record (current);
  event->previous = acquire_record (previous);
  g_queue_push_tail (&kv->events, event);
  if (kv->events.length <= HISTORY_EVENTS_MAX)
    return;
  hs_kv_compact (kv, ((HsKvEvent *) kv->events.head->data)->revision + 1);
}

static void
detach_from_lease (HsKv *kv, const HsKvRecord *record)
{
  Lease *lease;

  if (record == NULL || record->lease == 0)
    return;
  lease = g_hash_table_lookup (kv->leases, &record->lease);
  if (lease != NULL)
    g_hash_table_remove (lease->keys, record->key);
}

static void
put (HsKv *kv, const HsKvOp *op, int64_t revision)
{
  const HsKvRecord *previous = g_tree_lookup (kv->records, op->range.key);
  HsKvRecord *record = g_rc_box_new0 (HsKvRecord);

  record->key = g_strdup (op->range.key);
  record->value = g_malloc (op->value_len + 1);
  if (op->value_len > 0)
    memcpy (record->value, op->value, op->value_len);
  record->value[op->value_len] = '\0';
  record->value_len = op->value_len;
  record->create_revision
      = previous != NULL ? previous->create_revision : revision;
  record->mod_revision = revision;
  record->version = previous != NULL ? previous->version + 1 : 1;
  record->lease = op->lease;
  detach_from_lease (kv, previous);
  if (op->lease != 0)
    {
      Lease *lease = g_hash_table_lookup (kv->leases, &op->lease);

      g_hash_table_add (lease->keys, g_strdup (op->range.key));
    }
  log_event (kv, record, previous);
  g_tree_replace (kv->records, record->key, record);
}

static GPtrArray *
current_records (HsKv *kv, const HsKvRange *range)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (release_record);
  GTreeNode *node = g_tree_lower_bound (kv->records, range->key);

  for (; node != NULL && range_contains (range, g_tree_node_key (node));
       node = g_tree_node_next (node))
    g_ptr_array_add (records,
                     (void *) acquire_record (g_tree_node_value (node)));
  return records;
}

static int64_t
delete_range (HsKv *kv, const HsKvRange *range)
{
  g_autoptr (GPtrArray) records = current_records (kv, range);
  unsigned int i;

  for (i = 0; i < records->len; i++)
    {
      const HsKvRecord *record = records->pdata[i];

      detach_from_lease (kv, record);
      log_event (kv, NULL, record);
      g_tree_remove (kv->records, record->key);
    }
  return records->len;
}

/* Starts from the current records and undoes the changes after the revision,
   the newest first. */
static GPtrArray *
records_at (HsKv *kv, const HsKvRange *range, int64_t revision)
{
  GPtrArray *records = current_records (kv, range);
  g_autoptr (GTree) state = NULL;
  GList *link = kv->events.tail;
  GTreeNode *node;
  unsigned int i;

  if (link == NULL || ((HsKvEvent *) link->data)->revision <= revision)
    return records;
  state = g_tree_new_full (compare_keys, NULL, NULL, NULL);
  for (i = 0; i < records->len; i++)
    g_tree_insert (state, ((HsKvRecord *) records->pdata[i])->key,
                   records->pdata[i]);
  for (; link != NULL; link = link->prev)
    {
      HsKvEvent *event = link->data;

      if (event->revision <= revision)
        break;
      if (event->previous != NULL
          && range_contains (range, event->previous->key))
        g_tree_replace (state, event->previous->key, (void *) event->previous);
      else if (event->previous == NULL
               && range_contains (range, event->current->key))
        g_tree_remove (state, event->current->key);
    }
  g_ptr_array_unref (records);
  records = g_ptr_array_new_with_free_func (release_record);
  for (node = g_tree_node_first (state); node != NULL;
       node = g_tree_node_next (node))
    g_ptr_array_add (records,
                     (void *) acquire_record (g_tree_node_value (node)));
  return records;
}

static HsKvStatus
check_ops (HsKv *kv, const HsKvOp *ops, size_t n_ops)
{
  g_autoptr (GHashTable) puts = g_hash_table_new (g_str_hash, g_str_equal);
  size_t i;

  for (i = 0; i < n_ops; i++)
    {
      if (ops[i].kind != HS_KV_PUT)
        continue;
      if (ops[i].lease != 0
          && !g_hash_table_contains (kv->leases, &ops[i].lease))
        return HS_KV_NO_LEASE;
      if (!g_hash_table_add (puts, (void *) ops[i].range.key))
        return HS_KV_DUPLICATE_KEY;
    }
  return HS_KV_OK;
}

static void
remove_lease (HsKv *kv, Lease *lease)
{
  g_autoptr (GList) keys = g_list_sort (g_hash_table_get_keys (lease->keys),
                                        (GCompareFunc) strcmp);
  g_autoptr (GHashTable) owned = g_steal_pointer (&lease->keys);
  bool changed = false;
  GList *link;

  lease->keys = g_hash_table_new (g_str_hash, g_str_equal);
  for (link = keys; link != NULL; link = link->next)
    {
      HsKvRange range = { link->data, NULL };

      changed = delete_range (kv, &range) > 0 || changed;
    }
  if (changed)
    kv->revision++;
  g_hash_table_remove (kv->leases, &lease->id);
}
