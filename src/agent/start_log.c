#include "agent/start_log.h"

#include <string.h>

#include <glib.h>

#define INITIAL_TABLE_SIZE 64

typedef enum
{
  RECORD_RUNNING,
  RECORD_FINISHED,
  RECORD_FENCED
} RecordState;

typedef struct
{
  GList age_link;  /* In HsStartLog.by_start, oldest start first. */
  GList body_link; /* In HsStartLog.by_completion, oldest body first. */
  HsRecordHandle handle;
  uint32_t hash;
  hsx_task_key key;
  HsTime started_at;
  RecordState state;
  hsx_outcome outcome;
  uint32_t http_status;
  uint32_t run_us;
  char *body; /* Freed by g_free(). */
  uint32_t body_len;
  char key_strings[]; /* Customer and id; the key points here. */
} Record;

struct HsStartLog
{
  HsTime retention;
  uint64_t body_limit;
  uint64_t body_bytes;
  GHashTable *records; /* Set of records, by the task's key. */
  Record **by_handle;  /* Indexed by handle; element 0 is unused. */
  uint32_t table_size;
  HsRecordHandle *free_handles; /* Stack of handles without a record. */
  uint32_t n_free_handles;
  GQueue by_start;
  GQueue by_completion;
};

static int free_start_log (HsStartLog *log);
static uint32_t hash_key (const hsx_task_key *key);
static guint record_hash (gconstpointer item);
static gboolean record_equal (gconstpointer a, gconstpointer b);
static Record *new_record (HsStartLog *log, const hsx_task_key *key);
static Record *
add_record (HsStartLog *log, const hsx_task_key *key, HsTime now);
static void grow_table (HsStartLog *log);
static void drop_body (HsStartLog *log, Record *record);
static void drop_record (HsStartLog *log, Record *record);

HsStartLog *
hs_start_log_new (TALLOC_CTX *ctx, HsTime retention, uint64_t body_bytes)
{
  HsStartLog *log = talloc_zero (ctx, HsStartLog);

  log->retention = retention;
  log->body_limit = body_bytes;
  log->records = g_hash_table_new (record_hash, record_equal);
  g_queue_init (&log->by_start);
  g_queue_init (&log->by_completion);
  grow_table (log);
  talloc_set_destructor (log, free_start_log);
  return log;
}

HsRecordHandle
hs_start_log_find (const HsStartLog *log, const hsx_task_key *key)
{
  Record key_record = { .key = *key, .hash = hash_key (key) };
  const Record *record = g_hash_table_lookup (log->records, &key_record);

  return record == NULL ? 0 : record->handle;
}

HsRecordHandle
hs_start_log_add_start (HsStartLog *log, const hsx_task_key *key, HsTime now)
{
  Record *record = add_record (log, key, now);

  record->state = RECORD_RUNNING;
  return record->handle;
}

HsRecordHandle
hs_start_log_add_fence (HsStartLog *log, const hsx_task_key *key, HsTime now)
{
  Record *record = add_record (log, key, now);

  record->state = RECORD_FENCED;
  return record->handle;
}

void
hs_start_log_finish (HsStartLog *log,
                     HsRecordHandle handle,
                     const HsTaskCompletion *completion)
{
  Record *record = log->by_handle[handle];

  record->state = RECORD_FINISHED;
  record->outcome = completion->outcome;
  record->http_status = completion->http_status;
  record->run_us = completion->run_us;
  if (completion->body_len == 0)
    return;
  record->body = g_memdup2 (completion->body, completion->body_len);
  record->body_len = (uint32_t) completion->body_len;
  log->body_bytes += completion->body_len;
  g_queue_push_tail_link (&log->by_completion, &record->body_link);
  while (log->body_bytes > log->body_limit)
    {
      Record *oldest = log->by_completion.head->data;

      drop_body (log, oldest);
      oldest->outcome = HSX_MAYBE;
    }
}

void
hs_start_log_remove (HsStartLog *log, HsRecordHandle handle)
{
  drop_record (log, log->by_handle[handle]);
}

void
hs_start_log_expire (HsStartLog *log, HsTime now)
{
  GList *link = log->by_start.head;

  while (link != NULL)
    {
      Record *record = link->data;

      if (now - record->started_at <= log->retention)
        return;
      link = link->next;
      if (record->state != RECORD_RUNNING)
        drop_record (log, record);
    }
}

void
hs_start_log_get_result (const HsStartLog *log,
                         HsRecordHandle handle,
                         hsx_result *result)
{
  const Record *record = log->by_handle[handle];

  memset (result, 0, sizeof *result);
  result->key = record->key;
  switch (record->state)
    {
    case RECORD_RUNNING:
      result->outcome = HSX_RUNNING;
      break;
    case RECORD_FENCED:
      result->outcome = HSX_REFUSED;
      result->refusal = HSX_REFUSAL_FENCED;
      break;
    case RECORD_FINISHED:
      result->outcome = record->outcome;
      result->http_status = record->http_status;
      result->run_us = record->run_us;
      result->body.body_val = record->body;
      result->body.body_len = record->body_len;
      break;
    }
}

HsRecordHandle
hs_start_log_next (const HsStartLog *log,
                   HsRecordHandle after,
                   const bool *parts)
{
  HsRecordHandle handle;

  if (after >= log->table_size)
    return 0;
  for (handle = after + 1; handle < log->table_size; handle++)
    if (log->by_handle[handle] != NULL
        && parts[log->by_handle[handle]->key.part])
      return handle;
  return 0;
}

uint32_t
hs_start_log_retention_s (const HsStartLog *log)
{
  return (uint32_t) (log->retention / HS_SEC);
}

size_t
hs_start_log_count (const HsStartLog *log)
{
  return g_hash_table_size (log->records);
}

uint64_t
hs_start_log_body_bytes (const HsStartLog *log)
{
  return log->body_bytes;
}

/* Bodies are not talloc chunks, as the chunk header would double the size of
   small ones; so they are freed here. */
static int
free_start_log (HsStartLog *log)
{
  while (log->by_completion.head != NULL)
    drop_body (log, log->by_completion.head->data);
  g_hash_table_destroy (log->records);
  return 0;
}

static uint32_t
hash_key (const hsx_task_key *key)
{
  uint32_t hash = g_str_hash (key->customer);

  hash = hash * 31 + g_str_hash (key->id);
  return hash * 31 + key->index;
}

static guint
record_hash (gconstpointer item)
{
  return ((const Record *) item)->hash;
}

static gboolean
record_equal (gconstpointer a, gconstpointer b)
{
  const hsx_task_key *x = &((const Record *) a)->key;
  const hsx_task_key *y = &((const Record *) b)->key;

  return x->index == y->index && strcmp (x->id, y->id) == 0
         && strcmp (x->customer, y->customer) == 0;
}

static Record *
add_record (HsStartLog *log, const hsx_task_key *key, HsTime now)
{
  Record *record = new_record (log, key);

  if (log->n_free_handles == 0)
    grow_table (log);
  record->handle = log->free_handles[--log->n_free_handles];
  record->hash = hash_key (key);
  record->started_at = now;
  record->age_link.data = record;
  record->body_link.data = record;
  log->by_handle[record->handle] = record;
  g_hash_table_add (log->records, record);
  g_queue_push_tail_link (&log->by_start, &record->age_link);
  return record;
}

/* Allocates a record and the strings of its key as one chunk: an agent may
   hold tens of thousands of records, and each chunk has an overhead of a
   hundred bytes. */
static Record *
new_record (HsStartLog *log, const hsx_task_key *key)
{
  size_t customer_size = strlen (key->customer) + 1;
  size_t id_size = strlen (key->id) + 1;
  Record *record
      = talloc_zero_size (log, sizeof *record + customer_size + id_size);

  record->key = *key;
  record->key.customer = record->key_strings;
  record->key.id = record->key_strings + customer_size;
  memcpy (record->key.customer, key->customer, customer_size);
  memcpy (record->key.id, key->id, id_size);
  return record;
}

/* Doubles the table of handles; low handles are used first. */
static void
grow_table (HsStartLog *log)
{
  uint32_t old_size = log->table_size;
  uint32_t size = old_size == 0 ? INITIAL_TABLE_SIZE : old_size * 2;
  uint32_t handle;

  log->by_handle = talloc_realloc (log, log->by_handle, Record *, size);
  log->free_handles
      = talloc_realloc (log, log->free_handles, HsRecordHandle, size);
  memset (log->by_handle + old_size, 0,
          (size - old_size) * sizeof log->by_handle[0]);
  for (handle = size - 1; handle >= MAX (old_size, 1); handle--)
    log->free_handles[log->n_free_handles++] = handle;
  log->table_size = size;
}

static void
drop_body (HsStartLog *log, Record *record)
{
  if (record->body == NULL)
    return;
  g_queue_unlink (&log->by_completion, &record->body_link);
  log->body_bytes -= record->body_len;
  g_clear_pointer (&record->body, g_free);
  record->body_len = 0;
}

static void
drop_record (HsStartLog *log, Record *record)
{
  drop_body (log, record);
  g_queue_unlink (&log->by_start, &record->age_link);
  g_hash_table_remove (log->records, record);
  log->by_handle[record->handle] = NULL;
  log->free_handles[log->n_free_handles++] = record->handle;
  talloc_free (record);
}
