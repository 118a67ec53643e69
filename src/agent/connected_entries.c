#include "agent/connected_entries.h"

#include <string.h>

#include <glib.h>

#include "rpc/probe.h"

/** Maximum connections of one entry: both sides may dial, and a stale
 *  connection may not be closed yet. */
#define CONNS_MAX 4
/** Maximum bytes of result bodies in one message, unless it has one result. */
#define BATCH_BYTES_MAX (1024 * 1024)

struct HsConnectedEntry
{
  HsConnectedEntries *entries;
  uint64_t incarnation;
  char *address;
  HsConn *conns[CONNS_MAX];
  uint32_t n_conns;
  HsConn *preferred;
  GArray *queue;           /* HsPendingResult. */
  TALLOC_CTX *key_strings; /* Key strings of queued refusals. */
  struct tevent_immediate *flush;
  bool flush_scheduled;
};

struct HsConnectedEntries
{
  struct tevent_context *ev;
  const HsStartLog *start_log;
  HsAgentStats *stats;
  HsConnectedEntry **entries;
  uint32_t n_entries;
};

static HsConnectedEntry *new_entry (HsConnectedEntries *entries,
                                    const hsx_hello *hello);
static int free_entry (HsConnectedEntry *entry);
static void on_flush (struct tevent_context *ev,
                      struct tevent_immediate *immediate,
                      void *arg);
static void flush (HsConnectedEntry *entry);
static uint32_t send_batch (HsConnectedEntry *entry, uint32_t first);
static void fill_result (const HsConnectedEntry *entry,
                         HsPendingResult *pending,
                         hsx_result *result);

HsConnectedEntries *
hs_connected_entries_new (TALLOC_CTX *ctx,
                          struct tevent_context *ev,
                          const HsStartLog *start_log,
                          HsAgentStats *stats)
{
  HsConnectedEntries *entries = talloc_zero (ctx, HsConnectedEntries);

  entries->ev = ev;
  entries->start_log = start_log;
  entries->stats = stats;
  return entries;
}

HsConnectedEntry *
hs_connected_entries_add_conn (HsConnectedEntries *entries,
                               HsConn *conn,
                               bool *is_new)
{
  const hsx_hello *hello = hs_conn_peer (conn);
  HsConnectedEntry *entry
      = hs_connected_entries_find (entries, hello->incarnation);

  *is_new = entry == NULL;
  if (entry == NULL)
    entry = new_entry (entries, hello);
  if (entry->n_conns == CONNS_MAX)
    return NULL;
  entry->conns[entry->n_conns++] = conn;
  entry->preferred = conn;
  hs_conn_set_data (conn, entry);
  hs_conn_set_keepalive (conn, HS_CONN_KEEPALIVE_LONG);
  return entry;
}

uint64_t
hs_connected_entries_remove_conn (HsConnectedEntries *entries, HsConn *conn)
{
  HsConnectedEntry *entry = hs_conn_data (conn);
  uint64_t incarnation;
  uint32_t i;

  if (entry == NULL)
    return 0;
  hs_conn_set_data (conn, NULL);
  for (i = 0; i < entry->n_conns; i++)
    if (entry->conns[i] == conn)
      entry->conns[i--] = entry->conns[--entry->n_conns];
  if (entry->n_conns > 0)
    {
      if (entry->preferred == conn)
        entry->preferred = entry->conns[entry->n_conns - 1];
      return 0;
    }
  for (i = 0; i < entries->n_entries; i++)
    if (entries->entries[i] == entry)
      entries->entries[i--] = entries->entries[--entries->n_entries];
  incarnation = entry->incarnation;
  entries->stats->results_unsent += entry->queue->len;
  talloc_free (entry);
  return incarnation;
}

HsConnectedEntry *
hs_connected_entries_from_conn (const HsConn *conn)
{
  return hs_conn_data (conn);
}

HsConnectedEntry *
hs_connected_entries_find (const HsConnectedEntries *entries,
                           uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < entries->n_entries; i++)
    if (entries->entries[i]->incarnation == incarnation)
      return entries->entries[i];
  return NULL;
}

void
hs_connected_entries_probe (const HsConnectedEntries *entries,
                            uint64_t incarnation)
{
  const HsConnectedEntry *entry
      = hs_connected_entries_find (entries, incarnation);
  uint32_t i;

  for (i = 0; entry != NULL && i < entry->n_conns; i++)
    hs_probe (entry->conns[i], 0);
}

HsConn *
hs_connected_entries_find_conn (const HsConnectedEntries *entries,
                                const char *address)
{
  uint32_t i;

  for (i = 0; i < entries->n_entries; i++)
    if (strcmp (entries->entries[i]->address, address) == 0)
      return entries->entries[i]->preferred;
  return NULL;
}

uint64_t
hs_connected_entry_incarnation (const HsConnectedEntry *entry)
{
  return entry->incarnation;
}

void
hs_connected_entry_set_preferred_conn (HsConnectedEntry *entry, HsConn *conn)
{
  entry->preferred = conn;
}

HsConn *
hs_connected_entry_preferred_conn (const HsConnectedEntry *entry)
{
  return entry->preferred;
}

void
hs_connected_entry_queue_result (HsConnectedEntry *entry,
                                 const HsPendingResult *pending)
{
  HsPendingResult copy = *pending;

  if (copy.handle == 0)
    {
      copy.key.customer = talloc_strdup (entry->key_strings, copy.key.customer);
      copy.key.id = talloc_strdup (entry->key_strings, copy.key.id);
    }
  g_array_append_val (entry->queue, copy);
  if (entry->flush_scheduled)
    return;
  entry->flush_scheduled = true;
  tevent_schedule_immediate (entry->flush, entry->entries->ev, on_flush, entry);
}

void
hs_connected_entries_flush (HsConnectedEntries *entries)
{
  uint32_t i;

  for (i = 0; i < entries->n_entries; i++)
    flush (entries->entries[i]);
}

void
hs_connected_entries_send_crash (const HsConnectedEntries *entries,
                                 const hsx_crash *crash)
{
  hsx_crash_args args = { *crash };
  uint32_t i;

  for (i = 0; i < entries->n_entries; i++)
    hs_conn_call (entries->entries[i]->preferred, HSX_CRASH, &args, HS_NEVER,
                  NULL, NULL);
}

bool
hs_connected_entries_all_sent (const HsConnectedEntries *entries)
{
  uint32_t i;
  uint32_t c;

  for (i = 0; i < entries->n_entries; i++)
    {
      const HsConnectedEntry *entry = entries->entries[i];

      if (entry->queue->len > 0)
        return false;
      for (c = 0; c < entry->n_conns; c++)
        if (hs_conn_unsent_bytes (entry->conns[c]) > 0)
          return false;
    }
  return true;
}

uint32_t
hs_connected_entries_count (const HsConnectedEntries *entries)
{
  return entries->n_entries;
}

static HsConnectedEntry *
new_entry (HsConnectedEntries *entries, const hsx_hello *hello)
{
  HsConnectedEntry *entry = talloc_zero (entries, HsConnectedEntry);

  entry->entries = entries;
  entry->incarnation = hello->incarnation;
  entry->address = talloc_strdup (entry, hello->address);
  entry->queue = g_array_new (FALSE, FALSE, sizeof (HsPendingResult));
  entry->key_strings = talloc_new (entry);
  entry->flush = tevent_create_immediate (entry);
  talloc_set_destructor (entry, free_entry);
  entries->entries = talloc_realloc (
      entries, entries->entries, HsConnectedEntry *, entries->n_entries + 1);
  entries->entries[entries->n_entries++] = entry;
  return entry;
}

static int
free_entry (HsConnectedEntry *entry)
{
  g_array_unref (entry->queue);
  return 0;
}

static void
on_flush (struct tevent_context *ev,
          struct tevent_immediate *immediate,
          void *arg)
{
  HsConnectedEntry *entry = arg;

  (void) ev;
  (void) immediate;
  entry->flush_scheduled = false;
  flush (entry);
}

static void
flush (HsConnectedEntry *entry)
{
  uint32_t first = 0;

  while (first < entry->queue->len)
    first += send_batch (entry, first);
  g_array_set_size (entry->queue, 0);
  talloc_free_children (entry->key_strings);
}

/* Sends one message of queued results; returns the number of results. */
static uint32_t
send_batch (HsConnectedEntry *entry, uint32_t first)
{
  hsx_result results[HSX_BATCH_MAX];
  hsx_result_args args = { .results.results_val = results };
  uint32_t n = 0;
  size_t bytes = 0;

  while (n < HSX_BATCH_MAX && first + n < entry->queue->len)
    {
      fill_result (entry,
                   &g_array_index (entry->queue, HsPendingResult, first + n),
                   &results[n]);
      bytes += results[n].body.body_len;
      if (n > 0 && bytes > BATCH_BYTES_MAX)
        break;
      n++;
    }
  args.results.results_len = n;
  if (hs_conn_call (entry->preferred, HSX_RESULT, &args, HS_NEVER, NULL, NULL))
    entry->entries->stats->results_sent += n;
  else
    entry->entries->stats->results_unsent += n;
  return n;
}

static void
fill_result (const HsConnectedEntry *entry,
             HsPendingResult *pending,
             hsx_result *result)
{
  if (pending->handle != 0)
    {
      hs_start_log_get_result (entry->entries->start_log, pending->handle,
                               result);
      if (pending->refusal != HSX_REFUSAL_NONE)
        result->refusal = pending->refusal;
    }
  else
    *result = (hsx_result){ .key = pending->key,
                            .outcome = HSX_REFUSED,
                            .refusal = pending->refusal,
                            .epoch = pending->epoch };
  result->next = pending->has_next_credit ? &pending->next_credit : NULL;
}
