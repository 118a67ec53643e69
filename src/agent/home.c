#include "agent/home.h"

#include <string.h>

#include <glib.h>

#include "base/log.h"

#define PART "agent"
#define ANNOUNCE_TIMEOUT (2 * HS_SEC)
/** Pause after each entry was tried once; doubles up to the longest. */
#define FIRST_PAUSE (100 * HS_MSEC)
#define LONGEST_PAUSE (5 * HS_SEC)

struct HsHome
{
  HsRpc *rpc;
  HsPeers *peers;
  char **candidates; /* Those of the settings first, then those learned. */
  uint32_t n_candidates;
  uint32_t n_settings;
  uint32_t next;  /* Candidate to try next. */
  uint32_t tried; /* Candidates tried in vain since the last success. */
  HsTime retry_at;
  HsTime pause;
  HsConn *conn; /* Being dialled, or the home's; NULL: none. */
  bool is_up;
  bool in_flight;    /* An announcement waits for its answer. */
  uint32_t revision; /* Of the agent's record; rises with each change. */
  uint32_t sent;     /* Revision in flight or answered last. */
  uint32_t accepted; /* Newest revision that this home accepted. */
  HsTime accepted_at;
  uint64_t entry; /* Incarnation of the last home; 0: none yet. */
  HsHomeMember member;
  void *arg;
  HsAgentStats *stats;
};

static void add_candidate (HsHome *home, const char *address);
static void announce (HsHome *home);
static void on_announced (void *arg, HsRpcStatus status, const void *result);
static void learn (HsHome *home, const hsx_announce_reply *reply);
static void fail (HsHome *home);

HsHome *
hs_home_new (TALLOC_CTX *ctx,
             HsRpc *rpc,
             HsPeers *peers,
             char *const *entries,
             HsHomeMember member,
             void *arg,
             HsAgentStats *stats)
{
  HsHome *home = talloc_zero (ctx, HsHome);

  home->rpc = rpc;
  home->peers = peers;
  home->pause = FIRST_PAUSE;
  home->revision = 1;
  home->member = member;
  home->arg = arg;
  home->stats = stats;
  for (; *entries != NULL; entries++)
    add_candidate (home, *entries);
  home->n_settings = home->n_candidates;
  return home;
}

void
hs_home_changed (HsHome *home)
{
  home->revision++;
  if (home->is_up && !home->in_flight)
    announce (home);
}

void
hs_home_tick (HsHome *home, HsTime now)
{
  const char *address;

  if (home->conn != NULL || home->n_candidates == 0)
    return;
  if (home->tried >= home->n_candidates)
    {
      home->tried = 0;
      home->retry_at = now + home->pause;
      home->pause = MIN (home->pause * 2, LONGEST_PAUSE);
    }
  if (now < home->retry_at)
    return;
  address = home->candidates[home->next];
  home->next = (home->next + 1) % home->n_candidates;
  home->conn = hs_peers_find_address (home->peers, address);
  if (home->conn != NULL)
    hs_home_up (home, home->conn);
  else
    home->conn = hs_rpc_dial (home->rpc, address);
}

void
hs_home_up (HsHome *home, HsConn *conn)
{
  if (conn != home->conn)
    return;
  home->is_up = true;
  /* The record names the home, so that a new one makes a new record. */
  if (home->entry != 0 && home->entry != hs_conn_peer (conn)->incarnation)
    home->revision++;
  home->entry = hs_conn_peer (conn)->incarnation;
  announce (home);
}

void
hs_home_down (HsHome *home, HsConn *conn, HsTime now)
{
  if (conn != home->conn)
    return;
  if (home->accepted > 0)
    hs_warn (PART, "home entry lost; announcing to the next one");
  fail (home);
  hs_home_tick (home, now);
}

HsTime
hs_home_current_since (const HsHome *home)
{
  if (!home->is_up || home->accepted != home->revision)
    return HS_NEVER;
  return home->accepted_at;
}

static void
add_candidate (HsHome *home, const char *address)
{
  uint32_t i;

  for (i = 0; i < home->n_candidates; i++)
    if (strcmp (home->candidates[i], address) == 0)
      return;
  home->candidates
      = talloc_realloc (home, home->candidates, char *, home->n_candidates + 1);
  home->candidates[home->n_candidates++] = talloc_strdup (home, address);
}

static void
announce (HsHome *home)
{
  hsx_announce_args args;

  memset (&args, 0, sizeof args);
  home->member (home->arg, &args.self);
  args.self.revision = home->revision;
  args.self.home = hs_conn_peer (home->conn)->incarnation;
  home->sent = home->revision;
  home->in_flight = true;
  home->stats->announced++;
  if (!hs_conn_call (home->conn, HSX_ANNOUNCE, &args, ANNOUNCE_TIMEOUT,
                     on_announced, home))
    hs_conn_close (home->conn);
}

static void
on_announced (void *arg, HsRpcStatus status, const void *result)
{
  HsHome *home = arg;
  const hsx_announce_reply *reply = result;

  home->in_flight = false;
  switch (status)
    {
    case HS_RPC_OK:
      break;
    case HS_RPC_BROKEN:
    case HS_RPC_UNSENT:
      return; /* The connection's end is reported next. */
    case HS_RPC_TIMEOUT:
    case HS_RPC_REJECTED:
      if (home->conn != NULL)
        hs_conn_close (home->conn);
      return;
    }
  if (!reply->accepted)
    {
      fail (home);
      return;
    }
  if (home->accepted == 0)
    hs_info (PART, "announced to %s", hs_conn_peer (home->conn)->address);
  home->accepted = home->sent;
  home->accepted_at = hs_now ().mono;
  home->tried = 0;
  home->pause = FIRST_PAUSE;
  learn (home, reply);
  if (home->revision != home->sent)
    announce (home);
}

/* Keeps the settings' entries as candidates, and those that live now. */
static void
learn (HsHome *home, const hsx_announce_reply *reply)
{
  uint32_t i;

  while (home->n_candidates > home->n_settings)
    TALLOC_FREE (home->candidates[--home->n_candidates]);
  for (i = 0; i < reply->entries.entries_len; i++)
    add_candidate (home, reply->entries.entries_val[i].address);
  home->next %= home->n_candidates;
}

static void
fail (HsHome *home)
{
  home->conn = NULL;
  home->is_up = false;
  home->in_flight = false;
  home->accepted = 0;
  home->tried++;
}
