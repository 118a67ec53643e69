#include "agent/memory.h"

#include <string.h>

#include <glib.h>

#define FIRST_TABLE_SIZE 64

typedef enum
{
  RECORD_RUNNING,
  RECORD_FINISHED,
  RECORD_FENCED
} RecordState;

typedef struct
{
  GList by_age;  /* In HsMemory.ages, oldest start first. */
  GList by_body; /* In HsMemory.bodies, oldest body first. */
  HsTaskHandle handle;
  uint32_t hash;
  hsx_task_key key;
  HsTime started_at;
  RecordState state;
  hsx_outcome outcome;
  uint32_t http_status;
  uint32_t run_us;
  char *body; /* Freed by g_free(). */
  uint32_t body_len;
  char names[]; /* Customer and id, which the key points to. */
} Record;

struct HsMemory
{
  HsTime retention;
  uint64_t body_limit;
  uint64_t body_bytes;
  GHashTable *by_key; /* Record to itself, by the task's key. */
  Record **table;     /* Indexed by handle; entry 0 stays empty. */
  uint32_t size;
  HsTaskHandle *unused; /* Stack of handles without a record. */
  uint32_t n_unused;
  GQueue ages;
  GQueue bodies;
};

static int free_memory (HsMemory *memory);
static uint32_t hash_key (const hsx_task_key *key);
static guint record_hash (gconstpointer item);
static gboolean record_equal (gconstpointer a, gconstpointer b);
static Record *new_record (HsMemory *memory, const hsx_task_key *key);
static Record *add (HsMemory *memory, const hsx_task_key *key, HsTime now);
static void grow (HsMemory *memory);
static void drop_body (HsMemory *memory, Record *record);
static void drop (HsMemory *memory, Record *record);

HsMemory *
hs_memory_new (TALLOC_CTX *ctx, HsTime retention, uint64_t body_bytes)
{
  HsMemory *memory = talloc_zero (ctx, HsMemory);

  memory->retention = retention;
  memory->body_limit = body_bytes;
  memory->by_key = g_hash_table_new (record_hash, record_equal);
  g_queue_init (&memory->ages);
  g_queue_init (&memory->bodies);
  grow (memory);
  talloc_set_destructor (memory, free_memory);
  return memory;
}

HsTaskHandle
hs_memory_find (const HsMemory *memory, const hsx_task_key *key)
{
  Record probe = { .key = *key, .hash = hash_key (key) };
  const Record *record = g_hash_table_lookup (memory->by_key, &probe);

  return record == NULL ? 0 : record->handle;
}

HsTaskHandle
hs_memory_start (HsMemory *memory, const hsx_task_key *key, HsTime now)
{
  Record *record = add (memory, key, now);

  record->state = RECORD_RUNNING;
  return record->handle;
}

HsTaskHandle
hs_memory_fence (HsMemory *memory, const hsx_task_key *key, HsTime now)
{
  Record *record = add (memory, key, now);

  record->state = RECORD_FENCED;
  return record->handle;
}

void
hs_memory_finish (HsMemory *memory, HsTaskHandle handle, const HsFinish *finish)
{
  Record *record = memory->table[handle];

  record->state = RECORD_FINISHED;
  record->outcome = finish->outcome;
  record->http_status = finish->http_status;
  record->run_us = finish->run_us;
  if (finish->body_len == 0)
    return;
  record->body = g_memdup2 (finish->body, finish->body_len);
  record->body_len = (uint32_t) finish->body_len;
  memory->body_bytes += finish->body_len;
  g_queue_push_tail_link (&memory->bodies, &record->by_body);
  while (memory->body_bytes > memory->body_limit)
    {
      Record *oldest = memory->bodies.head->data;

      drop_body (memory, oldest);
      oldest->outcome = HSX_MAYBE;
    }
}

void
hs_memory_remove (HsMemory *memory, HsTaskHandle handle)
{
  drop (memory, memory->table[handle]);
}

void
hs_memory_expire (HsMemory *memory, HsTime now)
{
  GList *link = memory->ages.head;

  while (link != NULL)
    {
      Record *record = link->data;

      if (now - record->started_at <= memory->retention)
        return;
      link = link->next;
      if (record->state != RECORD_RUNNING)
        drop (memory, record);
    }
}

void
hs_memory_result (const HsMemory *memory,
                  HsTaskHandle handle,
                  hsx_result *result)
{
  const Record *record = memory->table[handle];

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

HsTaskHandle
hs_memory_next (const HsMemory *memory, HsTaskHandle after, const bool *parts)
{
  HsTaskHandle handle;

  if (after >= memory->size)
    return 0;
  for (handle = after + 1; handle < memory->size; handle++)
    if (memory->table[handle] != NULL && parts[memory->table[handle]->key.part])
      return handle;
  return 0;
}

uint32_t
hs_memory_remembers_s (const HsMemory *memory)
{
  return (uint32_t) (memory->retention / HS_SEC);
}

size_t
hs_memory_count (const HsMemory *memory)
{
  return g_hash_table_size (memory->by_key);
}

uint64_t
hs_memory_body_bytes (const HsMemory *memory)
{
  return memory->body_bytes;
}

/* Bodies aren't chunks of talloc, which would double the small ones. */
static int
free_memory (HsMemory *memory)
{
  while (memory->bodies.head != NULL)
    drop_body (memory, memory->bodies.head->data);
  g_hash_table_destroy (memory->by_key);
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
add (HsMemory *memory, const hsx_task_key *key, HsTime now)
{
  Record *record = new_record (memory, key);

  if (memory->n_unused == 0)
    grow (memory);
  record->handle = memory->unused[--memory->n_unused];
  record->hash = hash_key (key);
  record->started_at = now;
  record->by_age.data = record;
  record->by_body.data = record;
  memory->table[record->handle] = record;
  g_hash_table_add (memory->by_key, record);
  g_queue_push_tail_link (&memory->ages, &record->by_age);
  return record;
}

/* One chunk with the strings of the key: at the peak an agent keeps tens of
   thousands of records, and each chunk costs a hundred bytes of its own. */
static Record *
new_record (HsMemory *memory, const hsx_task_key *key)
{
  size_t customer_size = strlen (key->customer) + 1;
  size_t id_size = strlen (key->id) + 1;
  Record *record
      = talloc_zero_size (memory, sizeof *record + customer_size + id_size);

  record->key = *key;
  record->key.customer = record->names;
  record->key.id = record->names + customer_size;
  memcpy (record->key.customer, key->customer, customer_size);
  memcpy (record->key.id, key->id, id_size);
  return record;
}

/* Doubles the table; low handles are handed out first. */
static void
grow (HsMemory *memory)
{
  uint32_t old_size = memory->size;
  uint32_t size = old_size == 0 ? FIRST_TABLE_SIZE : old_size * 2;
  uint32_t handle;

  memory->table = talloc_realloc (memory, memory->table, Record *, size);
  memory->unused = talloc_realloc (memory, memory->unused, HsTaskHandle, size);
  memset (memory->table + old_size, 0,
          (size - old_size) * sizeof memory->table[0]);
  for (handle = size - 1; handle >= MAX (old_size, 1); handle--)
    memory->unused[memory->n_unused++] = handle;
  memory->size = size;
}

static void
drop_body (HsMemory *memory, Record *record)
{
  if (record->body == NULL)
    return;
  g_queue_unlink (&memory->bodies, &record->by_body);
  memory->body_bytes -= record->body_len;
  g_clear_pointer (&record->body, g_free);
  record->body_len = 0;
}

static void
drop (HsMemory *memory, Record *record)
{
  drop_body (memory, record);
  g_queue_unlink (&memory->ages, &record->by_age);
  g_hash_table_remove (memory->by_key, record);
  memory->table[record->handle] = NULL;
  memory->unused[memory->n_unused++] = record->handle;
  talloc_free (record);
}
