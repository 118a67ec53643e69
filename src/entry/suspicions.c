/*
 * Failure detection by keepalives of different length. The registrar of an
 * agent has a short keepalive on its connections to the agent, and so have all
 * entries among themselves; other connections have a long one. A process that
 * loses another one by a short keepalive sends SUSPECT to the processes whose
 * keepalive is long, and they check their own connections by PROBE.
 */

#include "entry/core.h"
#include "rpc/probe.h"

typedef struct
{
  HsCore *core;
  uint64_t incarnation;
} Suspicion;

static void send_suspect (void *arg, HsConn *conn);
static void probe_if_registered_there (void *arg, HsConn *conn);

HsConnKeepalive
hs_suspicions_keepalive (const HsCore *core, uint64_t agent)
{
  const hsx_member *member = hs_members_find (core->members, agent);

  return member != NULL && member->home == core->incarnation
             ? HS_CONN_KEEPALIVE_SHORT
             : HS_CONN_KEEPALIVE_LONG;
}

void
hs_suspicions_agent_down (HsCore *core, uint64_t agent)
{
  Suspicion s = { core, agent };

  if (hs_suspicions_keepalive (core, agent) == HS_CONN_KEEPALIVE_SHORT)
    hs_links_foreach (core->links, HSX_ROLE_ENTRY, send_suspect, &s);
}

void
hs_suspicions_entry_down (HsCore *core, uint64_t entry)
{
  Suspicion s = { core, entry };

  hs_links_foreach (core->links, HSX_ROLE_AGENT, send_suspect, &s);
  hs_links_foreach (core->links, HSX_ROLE_AGENT, probe_if_registered_there, &s);
}

void
hs_suspicions_handle_suspect (HsCore *core,
                              uint64_t from,
                              const hsx_suspect_args *args)
{
  hs_links_probe (core->links, args->incarnation, from);
}

void
hs_suspicions_handle_probe (HsCore *core,
                            HsConn *conn,
                            HsRpcCallId call,
                            const hsx_probe_args *args)
{
  hs_probe_reply (conn, call);
  if (args->suspected_by != 0)
    hs_links_probe (core->links, args->suspected_by, 0);
}

static void
send_suspect (void *arg, HsConn *conn)
{
  const Suspicion *s = arg;
  hsx_suspect_args args = { s->incarnation };

  hs_conn_call (conn, HSX_SUSPECT, &args, HS_NEVER, NULL, NULL);
}

/* The lost entry had the short keepalive to the agents registered with it. If
 * it is unreachable, those agents may be so too. */
static void
probe_if_registered_there (void *arg, HsConn *conn)
{
  const Suspicion *s = arg;
  uint64_t agent = hs_conn_peer (conn)->incarnation;
  const hsx_member *member = hs_members_find (s->core->members, agent);

  if (member != NULL && member->home == s->incarnation)
    hs_links_probe (s->core->links, agent, s->incarnation);
}
