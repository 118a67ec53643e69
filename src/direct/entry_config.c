/* Distribution of the operators' configuration. It is read from the store, or
   from another entry if the store is unreachable; the store's revision of the
   key decides which copy is newer. Entries announce their revision to each
   other. An entry that is behind, and doesn't get the change from the store
   soon, requests the text from a single peer by sending it its own, older
   revision, so that a large configuration crosses each link only once. */
#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "direct/entry_private.h"
#include "platform/configuration.h"
#include "platform/evacuation_key.h"

/** Delay before a failed read is retried. */
#define READ_RETRY_DELAY (200 * HS_MSEC)

/** How long an entry that knows of a newer revision waits for the store to
 *  deliver it before it asks a peer, and for that peer to answer before it asks
 *  the next. A quarter of the time within which a change has to be in force; a
 *  configuration of 400 KB takes 130 ms on the slowest links. */
#define ASK_INTERVAL (400 * HS_MSEC)

static void start_read (HsDirectEntry *entry);
static void on_evacuations_read (void *arg, const HsStoreReply *reply);
static void read_failed (HsDirectEntry *entry, const HsStoreReply *reply);
static void on_read (void *arg, const HsStoreReply *reply);
static void on_watch (void *arg, const HsStoreWatchUpdate *note);
static void apply_config (HsDirectEntry *entry,
                          const char *text,
                          size_t len,
                          int64_t revision,
                          const char *from);
static void ask_peer (HsDirectEntry *entry, HsTime now);
static void schedule_ask (HsDirectEntry *entry, HsTime now);
static void
send_config (HsDirectEntry *entry, HsEntryPeer *peer, bool with_text);

void
hs_entry_config_start (HsDirectEntry *entry)
{
  entry->config_ask_at = HS_NEVER;
  start_read (entry);
}

HsTime
hs_entry_config_tick (HsDirectEntry *entry, HsTime now)
{
  if (now >= entry->config_read_at && !entry->config_read_pending)
    start_read (entry);
  if (now >= entry->config_ask_at)
    ask_peer (entry, now);
  return MIN (entry->config_ask_at, entry->config_read_at);
}

void
hs_entry_config_peer_connected (HsDirectEntry *entry, HsEntryPeer *peer)
{
  if (entry->config_revision > 0)
    send_config (entry, peer, false);
}

void
hs_entry_config_receive (HsDirectEntry *entry,
                         HsEntryPeer *peer,
                         const hsx_configuration_args *args)
{
  peer->config_revision = args->revision;
  if (args->text.text_len > 0)
    apply_config (entry, args->text.text_val, args->text.text_len,
                  args->revision, "entry");
  else if (args->revision < entry->config_revision)
    send_config (entry, peer, true);
  else
    schedule_ask (entry, hs_now ().mono);
}

static void
start_read (HsDirectEntry *entry)
{
  entry->config_read_pending = true;
  entry->config_read_at = HS_NEVER;
  if (entry->evacuations != NULL)
    hs_store_range (entry->store, HS_EVACUATION_PREFIX, 0, on_evacuations_read,
                    entry);
  else
    hs_store_range (entry->store, HS_CONFIGURATION_KEY, 0, on_read, entry);
}

/* The evacuations are read first, and the watch follows on this read: changes
   of the configuration that its later read includes are ignored then. */
static void
on_evacuations_read (void *arg, const HsStoreReply *reply)
{
  HsDirectEntry *entry = arg;

  if (!hs_entry_evacuations_read (entry, reply))
    read_failed (entry, reply);
  else
    hs_store_range (entry->store, HS_CONFIGURATION_KEY, 0, on_read, entry);
}

static void
read_failed (HsDirectEntry *entry, const HsStoreReply *reply)
{
  entry->config_read_pending = false;
  entry->config_read_failed = true;
  hs_event ("config_read", "outcome=failed status=%d", (int) reply->status);
  entry->config_read_at = hs_now ().mono + READ_RETRY_DELAY;
  hs_entry_schedule (entry, false);
}

static void
on_read (void *arg, const HsStoreReply *reply)
{
  HsDirectEntry *entry = arg;
  size_t i;

  if (reply->status != HS_STORE_OK)
    {
      read_failed (entry, reply);
      return;
    }
  entry->config_read_pending = false;
  hs_entry_schedule (entry, false);
  for (i = 0; i < reply->n_kvs; i++)
    if (strcmp (reply->kvs[i].key, HS_CONFIGURATION_KEY) == 0)
      apply_config (entry, reply->kvs[i].value, reply->kvs[i].value_len,
                    reply->kvs[i].mod_revision, "store");
  TALLOC_FREE (entry->config_watch);
  if (entry->evacuations != NULL)
    entry->config_watch = hs_store_watch (entry->store, HS_OPERATOR_PREFIX,
                                          entry->evacuations_read_revision + 1,
                                          on_watch, entry);
  else
    entry->config_watch = hs_store_watch (entry->store, HS_CONFIGURATION_KEY,
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
      hs_entry_evacuations_watch (entry, note);
      for (i = 0; i < note->n_events; i++)
        if (!note->events[i].deleted
            && strcmp (note->events[i].kv.key, HS_CONFIGURATION_KEY) == 0)
          apply_config (entry, note->events[i].kv.value,
                        note->events[i].kv.value_len,
                        note->events[i].kv.mod_revision, "store");
      return;
    case HS_STORE_WATCH_COMPACTED:
      hs_event ("config_watch", "outcome=compacted");
      entry->config_read_at = hs_now ().mono;
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
apply_config (HsDirectEntry *entry,
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
  entry->config_applied_at = hs_now ().mono;
  hs_event ("config",
            "from=%s revision=%" PRId64 " version=%" PRId64
            " routes=%u bad=%u outcome=applied",
            from, revision, hs_routes_version (routes),
            hs_routes_count (routes), n_bad);
  /* Peers that are behind can request the text from this entry now. */
  for (i = 0; i < HS_PEERS_MAX; i++)
    if (entry->peers[i].used && entry->peers[i].config_revision < revision)
      send_config (entry, &entry->peers[i], false);
  hs_entry_schedule (entry, false);
}

/* Schedules a request to a peer if one has a newer revision. An entry without
   any configuration asks at once, because it can't serve anything. */
static void
schedule_ask (HsDirectEntry *entry, HsTime now)
{
  uint32_t i;

  for (i = 0; i < HS_PEERS_MAX; i++)
    if (entry->peers[i].used
        && entry->peers[i].config_revision > entry->config_revision)
      break;
  if (i == HS_PEERS_MAX || entry->config_ask_at != HS_NEVER)
    return;
  entry->config_ask_at = now + (entry->config_revision == 0 ? 0 : ASK_INTERVAL);
  hs_entry_schedule (entry, false);
}

/* Asks the peers that are ahead in round-robin order, as one may not answer. */
static void
ask_peer (HsDirectEntry *entry, HsTime now)
{
  uint32_t i;

  entry->config_ask_at = HS_NEVER;
  for (i = 0; i < HS_PEERS_MAX; i++)
    {
      uint32_t k = (entry->config_last_asked + 1 + i) % HS_PEERS_MAX;
      HsEntryPeer *peer = &entry->peers[k];

      if (!peer->used || peer->config_revision <= entry->config_revision)
        continue;
      entry->config_last_asked = k;
      hs_event ("config_ask", "address=%s revision=%" PRId64 " have=%" PRId64,
                peer->address, peer->config_revision, entry->config_revision);
      send_config (entry, peer, false);
      entry->config_ask_at = now + ASK_INTERVAL;
      return;
    }
}

static void
send_config (HsDirectEntry *entry, HsEntryPeer *peer, bool with_text)
{
  hsx_configuration_args args = { .revision = entry->config_revision };

  if (with_text)
    {
      args.text.text_val = entry->config_text;
      args.text.text_len = (u_int) entry->config_len;
      peer->config_revision = entry->config_revision;
    }
  hs_conn_call (peer->conn, HSX_CONFIGURATION, &args, HS_NEVER, NULL, NULL);
}
