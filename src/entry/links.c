#include <string.h>

#include "base/log.h"
#include "entry/core.h"
#include "rpc/probe.h"

#define PART "links"

/** Pause between dials; doubles up to the longest. */
#define FIRST_PAUSE (100 * HS_MSEC)
#define LONGEST_PAUSE (2 * HS_SEC)

/** Bodies in one message of starts. */
#define START_BYTES_MAX ((size_t) 4 << 20)

/** Connections of one process: both sides may dial, and one may be stale. */
#define CONNS_MAX 4

struct HsLink
{
  HsLinks *links;
  hsx_role role;
  uint64_t incarnation;
  char *address;
  bool wanted;
  HsConn *conns[CONNS_MAX]; /* Those that are up. */
  uint32_t n_conns;
  HsConn *dialling;
  HsTime dial_at;
  HsTime pause;
  HsTime down_since;
  size_t starts_bytes; /* Bodies of `starts`. */
  GArray *starts;      /* hsx_start, deep copies below `starts_memory`. */
  TALLOC_CTX *starts_memory;
  struct tevent_immediate *flush;
};

struct HsLinks
{
  HsCore *core;
  HsLink **links;
  uint32_t n;
};

static HsLink *find (const HsLinks *links, uint64_t incarnation);
static HsLink *add (HsLinks *links, hsx_role role, uint64_t incarnation);
static int link_destructor (HsLink *link);
static void drop (HsLinks *links, HsLink *link);
static void on_up (void *arg, HsConn *conn);
static void on_down (void *arg, HsConn *conn, bool refused);
static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId call, void *args);
static void on_flush (struct tevent_context *ev,
                      struct tevent_immediate *immediate,
                      void *arg);
static void process_gone (HsCore *core, const HsLink *link, HsNow now);
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
  handler->up = on_up;
  handler->down = on_down;
  handler->call = on_call;
}

void
hs_links_want (HsLinks *links,
               hsx_role role,
               uint64_t incarnation,
               const char *address,
               HsTime now)
{
  HsLink *link = find (links, incarnation);

  if (link == NULL)
    link = add (links, role, incarnation);
  if (link->address == NULL || strcmp (link->address, address) != 0)
    {
      talloc_free (link->address);
      link->address = talloc_strdup (link, address);
    }
  if (link->wanted)
    return;
  link->wanted = true;
  link->dial_at = now;
  if (link->n_conns == 0)
    link->down_since = now;
}

void
hs_links_forget (HsLinks *links, uint64_t incarnation)
{
  HsLink *link = find (links, incarnation);

  if (link == NULL)
    return;
  link->wanted = false;
  if (link->n_conns == 0)
    drop (links, link);
}

HsConn *
hs_links_conn (const HsLinks *links, uint64_t incarnation)
{
  const HsLink *link = find (links, incarnation);

  if (link == NULL || link->n_conns == 0)
    return NULL;
  return link->conns[link->n_conns - 1];
}

HsTime
hs_links_tick (HsLinks *links, HsTime now)
{
  HsTime next = HS_NEVER;
  uint32_t i;

  for (i = 0; i < links->n; i++)
    {
      HsLink *link = links->links[i];

      if (!link->wanted || link->n_conns > 0 || link->dialling != NULL)
        continue;
      if (link->dial_at > now)
        {
          next = MIN (next, link->dial_at);
          continue;
        }
      link->pause = CLAMP (link->pause * 2, FIRST_PAUSE, LONGEST_PAUSE);
      link->dial_at = now + link->pause;
      link->dialling = hs_rpc_dial (links->core->rpc, link->address);
      hs_conn_set_data (link->dialling, link);
    }
  return next;
}

HsTime
hs_links_down_since (const HsLinks *links, uint64_t incarnation)
{
  const HsLink *link = find (links, incarnation);

  return link == NULL || link->n_conns > 0 ? 0 : link->down_since;
}

void
hs_links_each (HsLinks *links,
               hsx_role role,
               void (*func) (void *arg, HsConn *conn),
               void *arg)
{
  uint32_t i;

  for (i = 0; i < links->n; i++)
    if (links->links[i]->role == role && links->links[i]->n_conns > 0)
      func (arg, hs_links_conn (links, links->links[i]->incarnation));
}

void
hs_links_probe (HsLinks *links, uint64_t incarnation, uint64_t suspected_by)
{
  const HsLink *link = find (links, incarnation);
  uint32_t i;

  for (i = 0; link != NULL && i < link->n_conns; i++)
    hs_probe (link->conns[i], suspected_by);
}

void
hs_links_watch (HsLinks *links, uint64_t incarnation, HsConnWatch watch)
{
  const HsLink *link = find (links, incarnation);
  uint32_t i;

  for (i = 0; link != NULL && i < link->n_conns; i++)
    hs_conn_watch (link->conns[i], watch);
}

void
hs_links_start (HsLinks *links, uint64_t agent, const hsx_start *start)
{
  HsLink *link = find (links, agent);
  hsx_start copy = *start;

  /* Without a connection the owner learns by hs_owner_agent_disconnected(),
     which the same loss has brought or will bring. */
  if (link == NULL || link->n_conns == 0)
    return;
  if (link->starts->len == 0)
    tevent_schedule_immediate (link->flush, links->core->ev, on_flush, link);
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
    on_flush (NULL, NULL, link);
}

static HsLink *
find (const HsLinks *links, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < links->n; i++)
    if (links->links[i]->incarnation == incarnation)
      return links->links[i];
  return NULL;
}

static HsLink *
add (HsLinks *links, hsx_role role, uint64_t incarnation)
{
  HsLink *link = talloc_zero (links, HsLink);

  link->links = links;
  link->role = role;
  link->incarnation = incarnation;
  link->starts = g_array_new (FALSE, FALSE, sizeof (hsx_start));
  link->flush = tevent_create_immediate (link);
  talloc_set_destructor (link, link_destructor);
  links->links = talloc_realloc (links, links->links, HsLink *, links->n + 1);
  links->links[links->n++] = link;
  return link;
}

static int
link_destructor (HsLink *link)
{
  g_array_unref (link->starts);
  return 0;
}

static void
drop (HsLinks *links, HsLink *link)
{
  uint32_t i;

  if (link->dialling != NULL)
    hs_conn_set_data (link->dialling, NULL);
  for (i = 0; i < links->n; i++)
    if (links->links[i] == link)
      links->links[i--] = links->links[--links->n];
  talloc_free (link);
}

static void
on_up (void *arg, HsConn *conn)
{
  HsCore *core = arg;
  const hsx_hello *peer = hs_conn_peer (conn);
  HsLink *link = find (core->links, peer->incarnation);
  HsLink *dialled_for = hs_conn_data (conn);

  if (dialled_for != NULL && dialled_for->dialling == conn)
    dialled_for->dialling = NULL;
  /* Another process has taken the address over. */
  if (dialled_for != NULL && dialled_for != link)
    {
      hs_conn_set_data (conn, NULL);
      hs_conn_close (conn);
      process_gone (core, dialled_for, hs_now ());
      return;
    }
  if (link == NULL)
    link = add (core->links, peer->role, peer->incarnation);
  if (link->n_conns == CONNS_MAX)
    {
      hs_conn_close (conn);
      return;
    }
  hs_conn_set_data (conn, link);
  link->conns[link->n_conns++] = conn;
  link->pause = 0;
  if (link->role == HSX_ROLE_AGENT)
    hs_conn_watch (conn, hs_suspicions_watch (core, link->incarnation));
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
  hs_peers_forget_conn (core, conn);
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
      link->dial_at = now.mono;
      g_array_set_size (link->starts, 0);
      link->starts_bytes = 0;
      TALLOC_FREE (link->starts_memory);
    }
  /* The calls may forget the process, which frees the link. */
  incarnation = link->incarnation;
  if (was_up && link->role == HSX_ROLE_AGENT)
    hs_agents_conn_down (core, incarnation, now);
  else if (was_up)
    hs_peers_conn_down (core, incarnation, now);
  link = find (core->links, incarnation);
  if (link != NULL && refused)
    process_gone (core, link, now);
  link = find (core->links, incarnation);
  if (link != NULL && !link->wanted)
    drop (core->links, link);
  hs_core_rearm (core, now);
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
    hs_peers_called (core, conn, proc, call, args, now);
  hs_core_rearm (core, now);
}

static void
on_flush (struct tevent_context *ev,
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
    hs_warn (PART, "start batch could not be sent; its tasks time out");
  g_array_set_size (link->starts, 0);
  link->starts_bytes = 0;
  TALLOC_FREE (link->starts_memory);
}

/* Nothing listens at its address, or another process does. */
static void
process_gone (HsCore *core, const HsLink *link, HsNow now)
{
  if (link->role == HSX_ROLE_AGENT)
    hs_agents_gone (core, link->incarnation, now);
  else
    hs_keeper_peer_gone (core->keeper, link->incarnation);
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
