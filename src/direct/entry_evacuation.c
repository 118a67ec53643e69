/* Evacuations of data centres: learnt from the store or from other entries, and
   sent to agents and to other entries. Each set that replaces an older one is
   sent on, also one with the same data centres: a receiver may meanwhile have
   got one in between from a slower entry. */
#include <inttypes.h>

#include "base/event.h"
#include "direct/entry_private.h"
#include "platform/evacuation_key.h"

static void on_change (void *arg, const HsEvacuationChange *change);
static const char *
data_centre_of (const char *key, int64_t revision, const char *from);
static void apply_changed (HsDirectEntry *entry);
static void send_set (HsDirectEntry *entry, HsConn *conn);
static void send_to_peer (HsDirectEntry *entry, HsEntryPeer *peer);

void
hs_entry_evacuations_start (HsDirectEntry *entry)
{
  if (entry->settings->evacuation_limit <= 0)
    return;
  entry->evacuations = hs_evacuations_new (entry, on_change, entry);
  hs_jobs_set_evacuations (entry->jobs, entry->evacuations);
}

bool
hs_entry_evacuations_allow_jobs (const HsDirectEntry *entry)
{
  return entry->evacuations == NULL
         || hs_evacuations_is_known (entry->evacuations);
}

bool
hs_entry_evacuations_read (HsDirectEntry *entry, const HsStoreReply *reply)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  size_t i;

  if (reply->status != HS_STORE_OK || reply->more)
    return false;
  for (i = 0; i < reply->n_kvs; i++)
    {
      const char *name = data_centre_of (reply->kvs[i].key,
                                         reply->kvs[i].mod_revision, "store");

      if (name != NULL)
        g_ptr_array_add (names, (void *) name);
    }
  entry->evacuations_read_revision = reply->revision;
  entry->evacuations_from = "store";
  if (hs_evacuations_replace (entry->evacuations,
                              (const char *const *) names->pdata, names->len,
                              reply->revision))
    apply_changed (entry);
  return true;
}

void
hs_entry_evacuations_watch (HsDirectEntry *entry,
                            const HsStoreWatchUpdate *update)
{
  g_autoptr (GArray) changes
      = g_array_new (FALSE, FALSE, sizeof (HsEvacuationChange));
  size_t i;

  if (entry->evacuations == NULL)
    return;
  for (i = 0; i < update->n_events; i++)
    {
      const HsStoreEvent *event = &update->events[i];
      HsEvacuationChange change
          = { .revision = event->kv.mod_revision, .begun = !event->deleted };

      if (!hs_evacuation_key_matches (event->kv.key))
        continue;
      change.data_centre
          = data_centre_of (event->kv.key, change.revision, "store");
      if (change.data_centre != NULL)
        g_array_append_val (changes, change);
    }
  entry->evacuations_from = "store";
  if (hs_evacuations_apply (entry->evacuations,
                            (HsEvacuationChange *) (void *) changes->data,
                            changes->len))
    apply_changed (entry);
}

void
hs_entry_evacuations_peer_connected (HsDirectEntry *entry, HsEntryPeer *peer)
{
  if (entry->evacuations != NULL
      && hs_evacuations_is_known (entry->evacuations))
    send_to_peer (entry, peer);
}

void
hs_entry_evacuations_agent_connected (HsDirectEntry *entry, HsConn *conn)
{
  if (entry->evacuations != NULL
      && hs_evacuations_is_known (entry->evacuations))
    send_set (entry, conn);
}

void
hs_entry_evacuations_receive (HsDirectEntry *entry,
                              HsEntryPeer *peer,
                              const hsx_evacuations_args *args)
{
  peer->evacuations_revision = MAX (peer->evacuations_revision, args->revision);
  entry->evacuations_from = "entry";
  if (entry->evacuations != NULL
      && hs_evacuations_replace (
          entry->evacuations,
          (const char *const *) args->data_centres.data_centres_val,
          args->data_centres.data_centres_len, args->revision))
    apply_changed (entry);
}

static void
on_change (void *arg, const HsEvacuationChange *change)
{
  const HsDirectEntry *entry = arg;
  char name[HS_EVENT_VALUE_SIZE];

  hs_event ("evacuation",
            "data_centre=%s revision=%" PRId64 " outcome=%s from=%s",
            hs_event_sanitise (change->data_centre, name), change->revision,
            change->begun ? "begun" : "ended", entry->evacuations_from);
}

/* The data centre that a key names; logs a key that names none. */
static const char *
data_centre_of (const char *key, int64_t revision, const char *from)
{
  const char *name = hs_evacuation_key_data_centre (key);
  char text[HS_EVENT_VALUE_SIZE];

  if (name == NULL)
    hs_event ("evacuation",
              "data_centre=%s revision=%" PRId64 " outcome=invalid from=%s",
              hs_event_sanitise (key, text), revision, from);
  return name;
}

static void
apply_changed (HsDirectEntry *entry)
{
  int64_t revision = hs_evacuations_revision (entry->evacuations);
  uint32_t i;

  hs_jobs_set_evacuations (entry->jobs, entry->evacuations);
  for (i = 0; i < entry->n_links; i++)
    if (entry->links[i].conn != NULL)
      send_set (entry, entry->links[i].conn);
  for (i = 0; i < HS_PEERS_MAX; i++)
    if (entry->peers[i].used && entry->peers[i].evacuations_revision < revision)
      send_to_peer (entry, &entry->peers[i]);
  hs_entry_schedule (entry, true);
}

static void
send_set (HsDirectEntry *entry, HsConn *conn)
{
  uint32_t n = hs_evacuations_count (entry->evacuations);
  g_autofree char **names = g_new (char *, n);
  hsx_evacuations_args args
      = { .revision = hs_evacuations_revision (entry->evacuations),
          .data_centres = { n, names } };
  uint32_t i;

  for (i = 0; i < n; i++)
    names[i] = (char *) hs_evacuations_get (entry->evacuations, i);
  hs_conn_call (conn, HSX_EVACUATIONS, &args, HS_NEVER, NULL, NULL);
}

static void
send_to_peer (HsDirectEntry *entry, HsEntryPeer *peer)
{
  peer->evacuations_revision = hs_evacuations_revision (entry->evacuations);
  send_set (entry, peer->conn);
}
