/* The configuration comes from the store, or from another entry where the
   store can't be reached; the store's revision of it decides which is newer. */
#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "direct/entry_private.h"
#include "platform/configuration.h"

/** Until a read that failed is tried again. */
#define READ_RETRY (200 * HS_MSEC)

/** After a change came, peers that haven't said that they have it are sent
 *  it: time enough for what they say, and a tenth of the time in which a
 *  change has to be in force. */
#define SHARE_SPAN (150 * HS_MSEC)

static void read_now (HsDirectEntry *entry);
static void on_read (void *arg, const HsStoreReply *reply);
static void on_watch (void *arg, const HsWatchNote *note);
static void apply (HsDirectEntry *entry,
                   const char *text,
                   size_t len,
                   int64_t revision,
                   const char *from);
static void send_to (HsDirectEntry *entry, HsEntryPeer *peer, bool with_text);

void
hs_entry_config_start (HsDirectEntry *entry)
{
  entry->share_at = HS_NEVER;
  read_now (entry);
}

HsTime
hs_entry_config_tick (HsDirectEntry *entry, HsTime now)
{
  uint32_t i;

  if (now >= entry->read_at && !entry->reading)
    read_now (entry);
  if (now >= entry->share_at)
    {
      entry->share_at = HS_NEVER;
      for (i = 0; i < HS_PEERS_MAX; i++)
        if (entry->peers[i].used
            && entry->peers[i].revision < entry->config_revision)
          send_to (entry, &entry->peers[i], true);
    }
  return MIN (entry->share_at, entry->read_at);
}

void
hs_entry_config_peer_up (HsDirectEntry *entry, HsEntryPeer *peer)
{
  if (entry->config_revision == 0)
    return;
  send_to (entry, peer, false);
  entry->share_at = MIN (entry->share_at, hs_now ().mono + SHARE_SPAN);
}

void
hs_entry_config_take (HsDirectEntry *entry,
                      HsEntryPeer *peer,
                      const hsx_configuration_args *args)
{
  peer->revision = MAX (peer->revision, args->revision);
  if (args->text.text_len > 0)
    apply (entry, args->text.text_val, args->text.text_len, args->revision,
           "entry");
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
on_watch (void *arg, const HsWatchNote *note)
{
  HsDirectEntry *entry = arg;
  size_t i;

  switch (note->kind)
    {
    case HS_WATCH_EVENTS:
      for (i = 0; i < note->n_events; i++)
        if (!note->events[i].deleted
            && strcmp (note->events[i].kv.key, HS_CONFIGURATION_KEY) == 0)
          apply (entry, note->events[i].kv.value, note->events[i].kv.value_len,
                 note->events[i].kv.mod_revision, "store");
      return;
    case HS_WATCH_COMPACTED:
      hs_event ("config_watch", "outcome=compacted");
      entry->read_at = hs_now ().mono;
      hs_entry_schedule (entry, false);
      return;
    case HS_WATCH_CUT:
      hs_event ("config_watch", "outcome=cut revision=%" PRId64,
                note->revision);
      return;
    case HS_WATCH_PROGRESS:
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
  for (i = 0; i < HS_PEERS_MAX; i++)
    if (entry->peers[i].used && entry->peers[i].revision < revision)
      send_to (entry, &entry->peers[i], false);
  entry->share_at = hs_now ().mono + SHARE_SPAN;
  hs_entry_schedule (entry, false);
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
