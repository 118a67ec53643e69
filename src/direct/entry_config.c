/* The configuration comes from the store, or from another entry where the
   store can't be reached; the store's revision of it decides which is newer.
   Entries tell each other which revision they have. One that is behind, and
   doesn't get the change from the store soon, asks one other entry by telling
   it of its own; a large configuration thus crosses each link once. */
#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "direct/entry_private.h"
#include "platform/configuration.h"

/** Until a read that failed is tried again. */
#define READ_RETRY (200 * HS_MSEC)

/** An entry that has heard of a change waits so long for the store's word of
 *  it, then asks an entry; and so long for each answer. A quarter of the time
 *  in which a change has to be in force; a configuration of 400 KB takes 130 ms
 *  on the slowest links. */
#define ASK_SPAN (400 * HS_MSEC)

static void read_now (HsDirectEntry *entry);
static void on_read (void *arg, const HsStoreReply *reply);
static void on_watch (void *arg, const HsStoreWatchUpdate *note);
static void apply (HsDirectEntry *entry,
                   const char *text,
                   size_t len,
                   int64_t revision,
                   const char *from);
static void ask (HsDirectEntry *entry, HsTime now);
static void expect (HsDirectEntry *entry, HsTime now);
static void send_to (HsDirectEntry *entry, HsEntryPeer *peer, bool with_text);

void
hs_entry_config_start (HsDirectEntry *entry)
{
  entry->ask_at = HS_NEVER;
  read_now (entry);
}

HsTime
hs_entry_config_tick (HsDirectEntry *entry, HsTime now)
{
  if (now >= entry->read_at && !entry->reading)
    read_now (entry);
  if (now >= entry->ask_at)
    ask (entry, now);
  return MIN (entry->ask_at, entry->read_at);
}

void
hs_entry_config_peer_up (HsDirectEntry *entry, HsEntryPeer *peer)
{
  if (entry->config_revision > 0)
    send_to (entry, peer, false);
}

void
hs_entry_config_take (HsDirectEntry *entry,
                      HsEntryPeer *peer,
                      const hsx_configuration_args *args)
{
  peer->revision = args->revision;
  if (args->text.text_len > 0)
    apply (entry, args->text.text_val, args->text.text_len, args->revision,
           "entry");
  else if (args->revision < entry->config_revision)
    send_to (entry, peer, true);
  else
    expect (entry, hs_now ().mono);
}

static void
read_now (HsDirectEntry *entry)
{
  entry->reading = true;
  entry->read_at = HS_NEVER;
  hs_store_range (entry->store, HS_CONFIGURATION_KEY, 0, on_read, entry);
}

static void
on_read (void *arg, const HsStoreReply *reply)
{
  HsDirectEntry *entry = arg;
  size_t i;

  entry->reading = false;
  hs_entry_schedule (entry, false);
  if (reply->status != HS_STORE_OK)
    {
      entry->read_failed = true;
      hs_event ("config_read", "outcome=failed status=%d", (int) reply->status);
      entry->read_at = hs_now ().mono + READ_RETRY;
      return;
    }
  for (i = 0; i < reply->n_kvs; i++)
    if (strcmp (reply->kvs[i].key, HS_CONFIGURATION_KEY) == 0)
      apply (entry, reply->kvs[i].value, reply->kvs[i].value_len,
             reply->kvs[i].mod_revision, "store");
  TALLOC_FREE (entry->watch);
  entry->watch = hs_store_watch (entry->store, HS_CONFIGURATION_KEY,
                                 reply->revision + 1, on_watch, entry);
}

static void
on_watch (void *arg, const HsStoreWatchUpdate *note)
{
  HsDirectEntry *entry = arg;
  size_t i;

  switch (note->kind)
    {
    case HS_STORE_WATCH_EVENTS:
      for (i = 0; i < note->n_events; i++)
        if (!note->events[i].deleted
            && strcmp (note->events[i].kv.key, HS_CONFIGURATION_KEY) == 0)
          apply (entry, note->events[i].kv.value, note->events[i].kv.value_len,
                 note->events[i].kv.mod_revision, "store");
      return;
    case HS_STORE_WATCH_COMPACTED:
      hs_event ("config_watch", "outcome=compacted");
      entry->read_at = hs_now ().mono;
      hs_entry_schedule (entry, false);
      return;
    case HS_STORE_WATCH_DISCONNECTED:
      hs_event ("config_watch", "outcome=cut revision=%" PRId64,
                note->revision);
      return;
    case HS_STORE_WATCH_PROGRESS:
      return;
    }
}

static void
apply (HsDirectEntry *entry,
       const char *text,
       size_t len,
       int64_t revision,
       const char *from)
{
  HsRoutes *routes;
  uint32_t n_bad;
  uint32_t i;

  if (revision <= entry->config_revision)
    return;
  routes = hs_configuration_decode (entry, text, len, &n_bad);
  if (routes == NULL)
    {
      hs_event ("config", "from=%s revision=%" PRId64 " outcome=unreadable",
                from, revision);
      return;
    }
  talloc_free (entry->routes);
  entry->routes = routes;
  talloc_free (entry->config_text);
  entry->config_text = talloc_memdup (entry, text, len);
  entry->config_len = len;
  entry->config_revision = revision;
  entry->config_at = hs_now ().mono;
  hs_event ("config",
            "from=%s revision=%" PRId64 " version=%" PRId64
            " routes=%u bad=%u outcome=applied",
            from, revision, hs_routes_version (routes),
            hs_routes_count (routes), n_bad);
  /* Those that are behind know by this that they can ask. */
  for (i = 0; i < HS_PEERS_MAX; i++)
    if (entry->peers[i].used && entry->peers[i].revision < revision)
      send_to (entry, &entry->peers[i], false);
  hs_entry_schedule (entry, false);
}

/* Without any configuration nothing can be served, so that one is asked for
   at once. */
static void
expect (HsDirectEntry *entry, HsTime now)
{
  uint32_t i;

  for (i = 0; i < HS_PEERS_MAX; i++)
    if (entry->peers[i].used
        && entry->peers[i].revision > entry->config_revision)
      break;
  if (i == HS_PEERS_MAX || entry->ask_at != HS_NEVER)
    return;
  entry->ask_at = now + (entry->config_revision == 0 ? 0 : ASK_SPAN);
  hs_entry_schedule (entry, false);
}

/* Asks by turns, in case one doesn't answer. */
static void
ask (HsDirectEntry *entry, HsTime now)
{
  uint32_t i;

  entry->ask_at = HS_NEVER;
  for (i = 0; i < HS_PEERS_MAX; i++)
    {
      uint32_t k = (entry->asked_last + 1 + i) % HS_PEERS_MAX;
      HsEntryPeer *peer = &entry->peers[k];

      if (!peer->used || peer->revision <= entry->config_revision)
        continue;
      entry->asked_last = k;
      hs_event ("config_ask", "address=%s revision=%" PRId64 " have=%" PRId64,
                peer->address, peer->revision, entry->config_revision);
      send_to (entry, peer, false);
      entry->ask_at = now + ASK_SPAN;
      return;
    }
}

static void
send_to (HsDirectEntry *entry, HsEntryPeer *peer, bool with_text)
{
  hsx_configuration_args args = { .revision = entry->config_revision };

  if (with_text)
    {
      args.text.text_val = entry->config_text;
      args.text.text_len = (u_int) entry->config_len;
      peer->revision = entry->config_revision;
    }
  hs_conn_call (peer->conn, HSX_CONFIGURATION, &args, HS_NEVER, NULL, NULL);
}
