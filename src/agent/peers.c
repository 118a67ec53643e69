#include "agent/peers.h"

#include <string.h>

#include <glib.h>

#include "rpc/probe.h"

/** Maximum connections of one entry: both sides may dial, and a stale
 *  connection may not be closed yet. */
#define CONNS_MAX 4
/** Maximum bytes of result bodies in one message, unless it has one result. */
#define BATCH_BYTES_MAX (1024 * 1024)

struct HsPeer
{
  HsPeers *peers;
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

struct HsPeers
{
  struct tevent_context *ev;
  const HsStartLog *start_log;
  HsAgentStats *stats;
  HsPeer **peers;
  uint32_t n_peers;
};

static HsPeer *new_peer (HsPeers *peers, const hsx_hello *hello);
static int free_peer (HsPeer *peer);
static void on_flush (struct tevent_context *ev,
                      struct tevent_immediate *immediate,
                      void *arg);
static void flush (HsPeer *peer);
static uint32_t send_batch (HsPeer *peer, uint32_t first);
static void
fill_result (const HsPeer *peer, HsPendingResult *pending, hsx_result *result);

HsPeers *
hs_peers_new (TALLOC_CTX *ctx,
              struct tevent_context *ev,
              const HsStartLog *start_log,
              HsAgentStats *stats)
{
  HsPeers *peers = talloc_zero (ctx, HsPeers);

  peers->ev = ev;
  peers->start_log = start_log;
  peers->stats = stats;
  return peers;
}

HsPeer *
hs_peers_add_conn (HsPeers *peers, HsConn *conn, bool *is_new)
{
  const hsx_hello *hello = hs_conn_peer (conn);
  HsPeer *peer = hs_peers_find (peers, hello->incarnation);

  *is_new = peer == NULL;
  if (peer == NULL)
    peer = new_peer (peers, hello);
  if (peer->n_conns == CONNS_MAX)
    return NULL;
  peer->conns[peer->n_conns++] = conn;
  peer->preferred = conn;
  hs_conn_set_data (conn, peer);
  hs_conn_set_keepalive (conn, HS_CONN_KEEPALIVE_LONG);
  return peer;
}

uint64_t
hs_peers_remove_conn (HsPeers *peers, HsConn *conn)
{
  HsPeer *peer = hs_conn_data (conn);
  uint64_t incarnation;
  uint32_t i;

  if (peer == NULL)
    return 0;
  hs_conn_set_data (conn, NULL);
  for (i = 0; i < peer->n_conns; i++)
    if (peer->conns[i] == conn)
      peer->conns[i--] = peer->conns[--peer->n_conns];
  if (peer->n_conns > 0)
    {
      if (peer->preferred == conn)
        peer->preferred = peer->conns[peer->n_conns - 1];
      return 0;
    }
  for (i = 0; i < peers->n_peers; i++)
    if (peers->peers[i] == peer)
      peers->peers[i--] = peers->peers[--peers->n_peers];
  incarnation = peer->incarnation;
  peers->stats->results_unsent += peer->queue->len;
  talloc_free (peer);
  return incarnation;
}

HsPeer *
hs_peers_from_conn (const HsConn *conn)
{
  return hs_conn_data (conn);
}

HsPeer *
hs_peers_find (const HsPeers *peers, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < peers->n_peers; i++)
    if (peers->peers[i]->incarnation == incarnation)
      return peers->peers[i];
  return NULL;
}

void
hs_peers_probe (const HsPeers *peers, uint64_t incarnation)
{
  const HsPeer *peer = hs_peers_find (peers, incarnation);
  uint32_t i;

  for (i = 0; peer != NULL && i < peer->n_conns; i++)
    hs_probe (peer->conns[i], 0);
}

HsConn *
hs_peers_find_conn (const HsPeers *peers, const char *address)
{
  uint32_t i;

  for (i = 0; i < peers->n_peers; i++)
    if (strcmp (peers->peers[i]->address, address) == 0)
      return peers->peers[i]->preferred;
  return NULL;
}

uint64_t
hs_peer_incarnation (const HsPeer *peer)
{
  return peer->incarnation;
}

void
hs_peer_set_preferred_conn (HsPeer *peer, HsConn *conn)
{
  peer->preferred = conn;
}

HsConn *
hs_peer_preferred_conn (const HsPeer *peer)
{
  return peer->preferred;
}

void
hs_peer_queue_result (HsPeer *peer, const HsPendingResult *pending)
{
  HsPendingResult copy = *pending;

  if (copy.handle == 0)
    {
      copy.key.customer = talloc_strdup (peer->key_strings, copy.key.customer);
      copy.key.id = talloc_strdup (peer->key_strings, copy.key.id);
    }
  g_array_append_val (peer->queue, copy);
  if (peer->flush_scheduled)
    return;
  peer->flush_scheduled = true;
  tevent_schedule_immediate (peer->flush, peer->peers->ev, on_flush, peer);
}

void
hs_peers_flush (HsPeers *peers)
{
  uint32_t i;

  for (i = 0; i < peers->n_peers; i++)
    flush (peers->peers[i]);
}

bool
hs_peers_all_sent (const HsPeers *peers)
{
  uint32_t i;
  uint32_t c;

  for (i = 0; i < peers->n_peers; i++)
    {
      const HsPeer *peer = peers->peers[i];

      if (peer->queue->len > 0)
        return false;
      for (c = 0; c < peer->n_conns; c++)
        if (hs_conn_unsent_bytes (peer->conns[c]) > 0)
          return false;
    }
  return true;
}

uint32_t
hs_peers_count (const HsPeers *peers)
{
  return peers->n_peers;
}

static HsPeer *
new_peer (HsPeers *peers, const hsx_hello *hello)
{
  HsPeer *peer = talloc_zero (peers, HsPeer);

  peer->peers = peers;
  peer->incarnation = hello->incarnation;
  peer->address = talloc_strdup (peer, hello->address);
  peer->queue = g_array_new (FALSE, FALSE, sizeof (HsPendingResult));
  peer->key_strings = talloc_new (peer);
  peer->flush = tevent_create_immediate (peer);
  talloc_set_destructor (peer, free_peer);
  peers->peers
      = talloc_realloc (peers, peers->peers, HsPeer *, peers->n_peers + 1);
  peers->peers[peers->n_peers++] = peer;
  return peer;
}

static int
free_peer (HsPeer *peer)
{
  g_array_unref (peer->queue);
  return 0;
}

static void
on_flush (struct tevent_context *ev,
          struct tevent_immediate *immediate,
          void *arg)
{
  HsPeer *peer = arg;

  (void) ev;
  (void) immediate;
  peer->flush_scheduled = false;
  flush (peer);
}

static void
flush (HsPeer *peer)
{
  uint32_t first = 0;

  while (first < peer->queue->len)
    first += send_batch (peer, first);
  g_array_set_size (peer->queue, 0);
  talloc_free_children (peer->key_strings);
}

/* Sends one message of queued results; returns the number of results. */
static uint32_t
send_batch (HsPeer *peer, uint32_t first)
{
  hsx_result results[HSX_BATCH_MAX];
  hsx_result_args args = { .results.results_val = results };
  uint32_t n = 0;
  size_t bytes = 0;

  while (n < HSX_BATCH_MAX && first + n < peer->queue->len)
    {
      fill_result (peer,
                   &g_array_index (peer->queue, HsPendingResult, first + n),
                   &results[n]);
      bytes += results[n].body.body_len;
      if (n > 0 && bytes > BATCH_BYTES_MAX)
        break;
      n++;
    }
  args.results.results_len = n;
  if (hs_conn_call (peer->preferred, HSX_RESULT, &args, HS_NEVER, NULL, NULL))
    peer->peers->stats->results_sent += n;
  else
    peer->peers->stats->results_unsent += n;
  return n;
}

static void
fill_result (const HsPeer *peer, HsPendingResult *pending, hsx_result *result)
{
  if (pending->handle != 0)
    {
      hs_start_log_get_result (peer->peers->start_log, pending->handle, result);
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
