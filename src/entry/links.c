#include <string.h>

#include "base/log.h"
#include "entry/core.h"
#include "rpc/probe.h"

#define PART "links"

/** Delay before a failed dial is repeated; doubles up to the maximum. */
#define REDIAL_DELAY_MIN (100 * HS_MSEC)
#define REDIAL_DELAY_MAX (2 * HS_SEC)

/** Task bodies in one START message, in bytes. */
#define START_BYTES_MAX ((size_t) 4 << 20)

/** Connections to one process: both sides may dial, and one connection may be
 * stale. */
#define CONNS_MAX 4

struct HsLink
{
  HsLinks *links;
  hsx_role role;
  uint64_t incarnation;
  char *address;
  bool persistent;
  HsConn *conns[CONNS_MAX]; /* Open ones, the newest last. */
  uint32_t n_conns;
  HsConn *dialling;
  HsTime redial_at;
  HsTime redial_delay;
  HsTime down_since;
  size_t starts_bytes; /* Total size of the bodies in `starts`. */
  GArray *starts; /* Queued hsx_start; deep copies below `starts_memory`. */
  TALLOC_CTX *starts_memory;
  struct tevent_immediate *starts_event;
};

struct HsLinks
{
  HsCore *core;
  HsLink **links;
  uint32_t n_links;
};

static HsLink *find_link (const HsLinks *links, uint64_t incarnation);
static HsLink *add_link (HsLinks *links, hsx_role role, uint64_t incarnation);
static int link_destructor (HsLink *link);
static void remove_link (HsLinks *links, HsLink *link);
static void on_up (void *arg, HsConn *conn);
static void on_down (void *arg, HsConn *conn, bool refused);
static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId call, void *args);
static void send_starts (struct tevent_context *ev,
                         struct tevent_immediate *immediate,
                         void *arg);
static void process_terminated (HsCore *core, const HsLink *link, HsNow now);
static void remove_conn (HsLink *link, const HsConn *conn);

HsLinks *
hs_links_new (HsCore *core)
{
  HsLinks *links = talloc_zero (core, HsLinks);

  links->core = core;
  return links;
}

void
hs_links_rpc_handler (HsRpcHandler *handler)
{
  handler->connected = on_up;
  handler->disconnected = on_down;
  handler->call = on_call;
}

void
hs_links_connect (HsLinks *links,
                  hsx_role role,
                  uint64_t incarnation,
                  const char *address,
                  HsTime now)
{
  HsLink *link = find_link (links, incarnation);

  if (link == NULL)
    link = add_link (links, role, incarnation);
  if (link->address == NULL || strcmp (link->address, address) != 0)
    {
      talloc_free (link->address);
      link->address = talloc_strdup (link, address);
    }
  if (link->persistent)
    return;
  link->persistent = true;
  link->redial_at = now;
  if (link->n_conns == 0)
    link->down_since = now;
}

void
hs_links_release (HsLinks *links, uint64_t incarnation)
{
  HsLink *link = find_link (links, incarnation);

  if (link == NULL)
    return;
  link->persistent = false;
  if (link->n_conns == 0)
    remove_link (links, link);
}

HsConn *
hs_links_conn (const HsLinks *links, uint64_t incarnation)
{
  const HsLink *link = find_link (links, incarnation);

  if (link == NULL || link->n_conns == 0)
    return NULL;
  return link->conns[link->n_conns - 1];
}

HsTime
hs_links_tick (HsLinks *links, HsTime now)
{
  HsTime next = HS_NEVER;
  uint32_t i;

  for (i = 0; i < links->n_links; i++)
    {
      HsLink *link = links->links[i];

      if (!link->persistent || link->n_conns > 0 || link->dialling != NULL)
        continue;
      if (link->redial_at > now)
        {
          next = MIN (next, link->redial_at);
          continue;
        }
      link->redial_delay
          = CLAMP (link->redial_delay * 2, REDIAL_DELAY_MIN, REDIAL_DELAY_MAX);
      link->redial_at = now + link->redial_delay;
      link->dialling = hs_rpc_dial (links->core->rpc, link->address);
      hs_conn_set_data (link->dialling, link);
    }
  return next;
}

HsTime
hs_links_down_since (const HsLinks *links, uint64_t incarnation)
{
  const HsLink *link = find_link (links, incarnation);

  return link == NULL || link->n_conns > 0 ? 0 : link->down_since;
}

void
hs_links_foreach (HsLinks *links,
                  hsx_role role,
                  void (*func) (void *arg, HsConn *conn),
                  void *arg)
{
  uint32_t i;

  for (i = 0; i < links->n_links; i++)
    if (links->links[i]->role == role && links->links[i]->n_conns > 0)
      func (arg, hs_links_conn (links, links->links[i]->incarnation));
}

void
hs_links_probe (HsLinks *links, uint64_t incarnation, uint64_t suspected_by)
{
  const HsLink *link = find_link (links, incarnation);
  uint32_t i;

  for (i = 0; link != NULL && i < link->n_conns; i++)
    hs_probe (link->conns[i], suspected_by);
}

void
hs_links_set_keepalive (HsLinks *links,
                        uint64_t incarnation,
                        HsConnKeepalive keepalive)
{
  const HsLink *link = find_link (links, incarnation);
  uint32_t i;

  for (i = 0; link != NULL && i < link->n_conns; i++)
    hs_conn_set_keepalive (link->conns[i], keepalive);
}

void
hs_links_queue_start (HsLinks *links, uint64_t agent, const hsx_start *start)
{
  HsLink *link = find_link (links, agent);
  hsx_start copy = *start;

  /* Without a connection the start is dropped: the owner handles the loss in
     hs_owner_agent_disconnected(), which was called or is about to be. */
  if (link == NULL || link->n_conns == 0)
    return;
  if (link->starts->len == 0)
    tevent_schedule_immediate (link->starts_event, links->core->ev, send_starts,
                               link);
  if (link->starts_memory == NULL)
    link->starts_memory = talloc_new (link);
  copy.key.customer = talloc_strdup (link->starts_memory, start->key.customer);
  copy.key.id = talloc_strdup (link->starts_memory, start->key.id);
  copy.body.body_val = talloc_memdup (link->starts_memory, start->body.body_val,
                                      start->body.body_len);
  g_array_append_val (link->starts, copy);
  link->starts_bytes += start->body.body_len;
  if (link->starts->len == HSX_BATCH_MAX
      || link->starts_bytes >= START_BYTES_MAX)
    send_starts (NULL, NULL, link);
}

static HsLink *
find_link (const HsLinks *links, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < links->n_links; i++)
    if (links->links[i]->incarnation == incarnation)
      return links->links[i];
  return NULL;
}

static HsLink *
add_link (HsLinks *links, hsx_role role, uint64_t incarnation)
{
  HsLink *link = talloc_zero (links, HsLink);

  link->links = links;
  link->role = role;
  link->incarnation = incarnation;
  link->starts = g_array_new (FALSE, FALSE, sizeof (hsx_start));
  link->starts_event = tevent_create_immediate (link);
  talloc_set_destructor (link, link_destructor);
  links->links
      = talloc_realloc (links, links->links, HsLink *, links->n_links + 1);
  links->links[links->n_links++] = link;
  return link;
}

static int
link_destructor (HsLink *link)
{
  g_array_unref (link->starts);
  return 0;
}

static void
remove_link (HsLinks *links, HsLink *link)
{
  uint32_t i;

  if (link->dialling != NULL)
    hs_conn_set_data (link->dialling, NULL);
  for (i = 0; i < links->n_links; i++)
    if (links->links[i] == link)
      links->links[i--] = links->links[--links->n_links];
  talloc_free (link);
}

static void
on_up (void *arg, HsConn *conn)
{
  HsCore *core = arg;
  const hsx_hello *peer = hs_conn_peer (conn);
  HsLink *link = find_link (core->links, peer->incarnation);
  HsLink *dialled_link = hs_conn_data (conn);

  if (dialled_link != NULL && dialled_link->dialling == conn)
    dialled_link->dialling = NULL;
  /* Another process listens at the address now. */
  if (dialled_link != NULL && dialled_link != link)
    {
      hs_conn_set_data (conn, NULL);
      hs_conn_close (conn);
      process_terminated (core, dialled_link, hs_now ());
      return;
    }
  if (link == NULL)
    link = add_link (core->links, peer->role, peer->incarnation);
  if (link->n_conns == CONNS_MAX)
    {
      hs_conn_close (conn);
      return;
    }
  hs_conn_set_data (conn, link);
  link->conns[link->n_conns++] = conn;
  link->redial_delay = 0;
  if (link->role == HSX_ROLE_AGENT)
    hs_conn_set_keepalive (conn,
                           hs_suspicions_keepalive (core, link->incarnation));
  if (link->n_conns > 1)
    return;
  if (link->role == HSX_ROLE_AGENT)
    hs_agents_conn_up (core, conn, hs_now ());
  else
    hs_peers_conn_up (core, conn, hs_now ());
}

static void
on_down (void *arg, HsConn *conn, bool refused)
{
  HsCore *core = arg;
  HsLink *link = hs_conn_data (conn);
  HsNow now = hs_now ();
  uint64_t incarnation;
  bool was_up;

  hs_calls_conn_down (core->calls, conn);
  hs_peers_drop_borrow_requests (core, conn);
  if (link == NULL)
    return;
  was_up = link->n_conns > 0;
  if (link->dialling == conn)
    link->dialling = NULL;
  remove_conn (link, conn);
  if (link->n_conns > 0)
    return;
  if (was_up)
    {
      link->down_since = now.mono;
      link->redial_at = now.mono;
      g_array_set_size (link->starts, 0);
      link->starts_bytes = 0;
      TALLOC_FREE (link->starts_memory);
    }
  /* These calls may release the process, which frees the link. */
  incarnation = link->incarnation;
  if (was_up && link->role == HSX_ROLE_AGENT)
    hs_agents_conn_down (core, incarnation, now);
  else if (was_up)
    hs_peers_conn_down (core, incarnation, now);
  link = find_link (core->links, incarnation);
  if (link != NULL && refused)
    process_terminated (core, link, now);
  link = find_link (core->links, incarnation);
  if (link != NULL && !link->persistent)
    remove_link (core->links, link);
  hs_core_schedule_tick (core, now);
}

static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId call, void *args)
{
  HsCore *core = arg;
  const HsLink *link = hs_conn_data (conn);
  HsNow now = hs_now ();

  if (link == NULL)
    return;
  if (link->role == HSX_ROLE_AGENT)
    hs_agents_called (core, conn, proc, call, args, now);
  else
    hs_peers_handle_call (core, conn, proc, call, args, now);
  hs_core_schedule_tick (core, now);
}

static void
send_starts (struct tevent_context *ev,
             struct tevent_immediate *immediate,
             void *arg)
{
  HsLink *link = arg;
  hsx_start_args args;

  (void) ev;
  (void) immediate;
  if (link->starts->len == 0 || link->n_conns == 0)
    return;
  args.starts.starts_len = link->starts->len;
  args.starts.starts_val = (hsx_start *) (void *) link->starts->data;
  if (!hs_conn_call (link->conns[link->n_conns - 1], HSX_START, &args, HS_NEVER,
                     NULL, NULL))
    hs_warn (PART, "could not send a batch of starts; its tasks will time out");
  g_array_set_size (link->starts, 0);
  link->starts_bytes = 0;
  TALLOC_FREE (link->starts_memory);
}

/* The dial was refused or reached another process: the process that had the
 * address has terminated. */
static void
process_terminated (HsCore *core, const HsLink *link, HsNow now)
{
  if (link->role == HSX_ROLE_AGENT)
    hs_agents_gone (core, link->incarnation, now);
  else
    hs_lease_manager_peer_terminated (core->lease_manager, link->incarnation);
}

static void
remove_conn (HsLink *link, const HsConn *conn)
{
  uint32_t i;

  for (i = 0; i < link->n_conns; i++)
    if (link->conns[i] == conn)
      {
        memmove (&link->conns[i], &link->conns[i + 1],
                 (link->n_conns - i - 1) * sizeof (HsConn *));
        link->n_conns--;
        return;
      }
}
