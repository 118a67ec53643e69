#include "http/body_budget.h"

#include <math.h>

#include <glib.h>

#define MB ((size_t) 1024 * 1024)

/** Memory of a host that isn't for requests in progress: the process (12 MB at
 *  rest), its jobs, and a body that is being decoded. */
#define RESERVED_MB 32

/** Share of the rest that is for requests in progress; the allocator's
 *  fragments, the kernel and other programs of the host need some. */
#define BUDGET_SHARE 0.75

/** Lower limit of the budget: an announcement of the maximum size (4 MiB) and
 *  connections fit. */
#define BUDGET_MIN (8 * MB)

/** Share of the budget that connections may take without their bodies. */
#define CONNECTIONS_SHARE 0.625

/** Descriptors for files, as the platform has it, and for the store, other
 *  entries, agents, and the readiness and metrics ports. */
#define FDS_OF_FILES 200
#define FDS_OF_PEERS 272

/** RPC peers before HELLO, as descriptors allow: at least more than all hosts
 * of a deployment (71) that dial at once after a loss of power. */
#define HANDSHAKES_MIN 128
#define HANDSHAKES_MAX 384

#define CONNECTIONS_MIN 16

/** The rate at which a share receives bytes is halved in this time without
 *  any. */
#define RATE_HALF_LIFE (250 * HS_MSEC)

/** A new request counts as if this had been received lately, so that it isn't
 *  dropped before its first bytes had time to arrive. */
#define INITIAL_BYTES 16384

/** Missing bytes of a request whose headers haven't been received. */
#define HEADER_BYTES 1024

/** Bodies of ordinary size. Larger ones are dropped first. */
#define ORDINARY_BYTES ((size_t) 16384)

/** Maximum number of victims selected in one pass. */
#define VICTIMS_MAX 16

/** Share of the budget that a pass frees beyond what is needed, so that not
 *  every request needs a pass while the budget is exhausted. */
#define SLACK_SHARE 0.0625

/** A pass over the connections closes some more, a 64th of the limit at most,
 *  which have been silent for a second. */
#define SPARE_CONNECTIONS_DIVISOR 64
#define SILENCE_MIN (1 * HS_SEC)

/** Share of the budget that all connections of a server and kept bodies may
 * take together, if these aren't of ordinary size. */
#define KEPT_SHARE 0.875

/** Bytes that the kernel may hold, as a share of the budget: what is left free
 *  of the host's memory beside it. */
#define RECEIVE_SHARE (1.0 / 3)

/** Half of these bytes are for all sockets alike, the other half for the larger
 *  receive buffers of this many connections. */
#define LARGE_RECEIVERS 128

/** Limits of a receive buffer: a window of a few segments, and what a path of
 *  50 ms needs for 20 MB/s. */
#define RECEIVE_MIN ((size_t) 4096)
#define RECEIVE_MAX (1 * MB)

#define REPORT_INTERVAL (1 * HS_SEC)

typedef enum
{
  SHARE_WAITING,   /* No headers yet. */
  SHARE_RECEIVING, /* The body. */
  SHARE_COMPLETE,
  SHARE_CLOSING
} ShareState;

struct HsBodyShare
{
  HsBodyBudget *budget;
  HsBodyShare *previous;
  HsBodyShare *next;
  HsBodyServer *server;
  const HsBodyEffects *effects;
  void *arg;
  ShareState state;
  size_t bytes;         /* Allocated for the body. */
  size_t receive_bytes; /* Of its receive buffer. */
  size_t missing;
  double recent_bytes; /* Received lately, as of received_at. */
  HsTime received_at;
};

struct HsBodyBudget
{
  size_t max_bytes;
  size_t kept_bytes;          /* Part of the bytes held that no share has. */
  size_t receive_bytes;       /* Of each socket. */
  size_t large_receive_bytes; /* Of LARGE_RECEIVERS connections. */
  uint32_t n_large_receivers;
  HsBodyShare *shares;
  HsBodyStats stats;
  HsBodyStats reported;
  HsTime reported_at;
};

typedef struct
{
  HsBodyShare *share;
  double score;
} Victim;

/** The shares with the highest scores, in descending order. */
typedef struct
{
  Victim entries[VICTIMS_MAX];
  unsigned int n;
} Victims;

HsBodyLimits
hs_body_limits (unsigned int memory_mb, unsigned int max_fds)
{
  size_t memory = memory_mb > 0 ? memory_mb : HS_MEMORY_MB_DEFAULT;
  size_t fds = max_fds > 0 ? max_fds : HS_FDS_DEFAULT;
  size_t rest = memory - MIN (memory, RESERVED_MB);
  size_t free_fds = fds - MIN (fds, FDS_OF_FILES + FDS_OF_PEERS);
  HsBodyLimits limits;
  size_t connections;

  limits.bytes
      = MAX ((size_t) ((double) (rest * MB) * BUDGET_SHARE), BUDGET_MIN);
  connections = (size_t) ((double) limits.bytes * CONNECTIONS_SHARE)
                / HS_CONNECTION_BYTES;
  connections = MIN (connections, free_fds - MIN (free_fds, HANDSHAKES_MIN));
  connections = MIN (connections, HS_CALLERS_MAX);
  limits.connections = (unsigned int) MAX (connections, CONNECTIONS_MIN);
  free_fds -= MIN (free_fds, connections);
  limits.handshakes
      = (unsigned int) CLAMP (free_fds, HANDSHAKES_MIN, HANDSHAKES_MAX);
  return limits;
}

size_t
hs_body_receive_bytes (size_t max_bytes, size_t max_sockets)
{
  size_t half = (size_t) ((double) max_bytes * RECEIVE_SHARE) / 2;

  return CLAMP (half / MAX (max_sockets, 1), RECEIVE_MIN, RECEIVE_MAX);
}

HsBodyBudget *
hs_body_budget_new (TALLOC_CTX *ctx, size_t max_bytes, size_t max_sockets)
{
  HsBodyBudget *budget = talloc_zero (ctx, HsBodyBudget);

  budget->max_bytes = max_bytes;
  budget->receive_bytes = hs_body_receive_bytes (max_bytes, max_sockets);
  budget->large_receive_bytes
      = hs_body_receive_bytes (max_bytes, LARGE_RECEIVERS);
  budget->reported_at = -REPORT_INTERVAL;
  return budget;
}

HsBodyStats
hs_body_budget_stats (const HsBodyBudget *budget)
{
  return budget->stats;
}

size_t
hs_body_budget_receive_bytes (const HsBodyBudget *budget)
{
  return budget->receive_bytes;
}

bool
hs_body_budget_report (HsBodyBudget *budget, HsTime now, HsBodyStats *out)
{
  const HsBodyStats *stats = &budget->stats;

  out->bytes = stats->bytes;
  out->dropped_bodies = stats->dropped_bodies - budget->reported.dropped_bodies;
  out->closed_connections
      = stats->closed_connections - budget->reported.closed_connections;
  if (out->dropped_bodies + out->closed_connections == 0
      || now - budget->reported_at < REPORT_INTERVAL)
    return false;
  budget->reported = *stats;
  budget->reported_at = now;
  return true;
}

/* Estimated time until the request has been received, and the time in which
   nothing was; the latter alone between requests, when nothing is expected. */
static double
score_of (const HsBodyShare *share, HsTime now)
{
  double silence = (double) MAX (now - share->received_at, 0);
  double recent
      = share->recent_bytes * exp2 (-silence / (double) RATE_HALF_LIFE);
  double bytes_per_us = (recent + 1) / (double) RATE_HALF_LIFE;

  if (share->state == SHARE_WAITING)
    return silence;
  return silence + (double) share->missing / bytes_per_us;
}

static void
add_victim (Victims *victims, HsBodyShare *share, double score)
{
  unsigned int i;

  if (victims->n == VICTIMS_MAX
      && victims->entries[VICTIMS_MAX - 1].score >= score)
    return;
  if (victims->n < VICTIMS_MAX)
    victims->n++;
  for (i = victims->n - 1; i > 0 && victims->entries[i - 1].score < score; i--)
    victims->entries[i] = victims->entries[i - 1];
  victims->entries[i] = (Victim){ share, score };
}

static bool
is_incomplete (const HsBodyShare *share)
{
  return share->state == SHARE_WAITING || share->state == SHARE_RECEIVING;
}

static void
close_share (HsBodyShare *share)
{
  share->state = SHARE_CLOSING;
  share->server->n_connections--;
  share->budget->stats.closed_connections++;
  share->effects->close (share->arg);
}

/* Whether to close one more connection: always above the limit, and some below
   it that have been silent, so that not each new one needs a pass. */
static bool
is_to_close (const HsBodyShare *share, HsTime now)
{
  const HsBodyServer *server = share->server;
  unsigned int spare = server->max_connections / SPARE_CONNECTIONS_DIVISOR;

  if (server->n_connections > server->max_connections)
    return true;
  return server->n_connections > server->max_connections - spare
         && now - share->received_at >= SILENCE_MIN;
}

/* Closes connections for a new one. That one stays in any case: if all others
   have complete requests, the server accepts no more than a few. */
static void
limit_connections (const HsBodyShare *newest, HsTime now)
{
  HsBodyServer *server = newest->server;
  Victims victims = { .n = 0 };
  HsBodyShare *share;
  unsigned int i;

  if (server->n_connections <= server->max_connections)
    return;
  for (share = newest->budget->shares; share != NULL; share = share->next)
    if (share != newest && share->server == server && is_incomplete (share))
      add_victim (&victims, share, score_of (share, now));
  for (i = 0; i < victims.n && is_to_close (victims.entries[i].share, now); i++)
    close_share (victims.entries[i].share);
}

static void
set_bytes (HsBodyShare *share, size_t bytes)
{
  share->budget->stats.bytes += bytes - share->bytes;
  share->bytes = bytes;
}

static bool
fits (const HsBodyShare *share, size_t bytes)
{
  const HsBodyBudget *budget = share->budget;

  return budget->stats.bytes - share->bytes + bytes <= budget->max_bytes;
}

static void
drop_body (HsBodyShare *share)
{
  set_bytes (share, 0);
  share->budget->stats.dropped_bodies++;
  share->effects->drop_body (share->arg);
}

/* Drops some bodies, until the @p wanted bytes of a share fit.
   @param large whether to drop bodies above ORDINARY_BYTES, or the others
   @return how many were dropped; -1: the share itself has the least progress of
           those that are left */
static int
drop_bodies (HsBodyShare *requester, size_t wanted, bool large, HsTime now)
{
  HsBodyBudget *budget = requester->budget;
  size_t slack
      = large ? (size_t) ((double) budget->max_bytes * SLACK_SHARE) : 0;
  Victims victims = { .n = 0 };
  HsBodyShare *share;
  unsigned int i;

  for (share = budget->shares; share != NULL; share = share->next)
    {
      size_t bytes = share == requester ? wanted : share->bytes;

      if (bytes > 0 && is_incomplete (share)
          && (bytes > ORDINARY_BYTES) == large)
        add_victim (&victims, share, score_of (share, now));
    }
  for (i = 0; i < victims.n && !fits (requester, wanted + slack); i++)
    {
      if (victims.entries[i].share == requester)
        return fits (requester, wanted) ? (int) i : -1;
      drop_body (victims.entries[i].share);
    }
  return (int) i;
}

/* Large bodies go first, and an ordinary one never for a large one. */
static bool
make_room (HsBodyShare *share, size_t bytes, HsTime now)
{
  int n = 1;

  while (n > 0 && !fits (share, bytes))
    n = drop_bodies (share, bytes, true, now);
  if (n < 0 || bytes > ORDINARY_BYTES)
    return fits (share, bytes);
  for (n = 1; n > 0 && !fits (share, bytes);)
    n = drop_bodies (share, bytes, false, now);
  return fits (share, bytes);
}

/* The first LARGE_RECEIVERS of those that are open have a larger one. */
static void
choose_receive_buffer (HsBodyShare *share)
{
  HsBodyBudget *budget = share->budget;

  share->receive_bytes = budget->receive_bytes;
  if (budget->n_large_receivers >= LARGE_RECEIVERS
      || budget->large_receive_bytes <= budget->receive_bytes)
    return;
  budget->n_large_receivers++;
  share->receive_bytes = budget->large_receive_bytes;
}

static int
free_share (HsBodyShare *share)
{
  HsBodyBudget *budget = share->budget;

  if (share->receive_bytes > budget->receive_bytes)
    budget->n_large_receivers--;

  set_bytes (share, 0);
  budget->stats.bytes -= share->server->connection_bytes;
  if (share->state != SHARE_CLOSING)
    share->server->n_connections--;
  if (share->previous != NULL)
    share->previous->next = share->next;
  else
    budget->shares = share->next;
  if (share->next != NULL)
    share->next->previous = share->previous;
  return 0;
}

HsBodyShare *
hs_body_share_new (TALLOC_CTX *ctx,
                   HsBodyBudget *budget,
                   HsBodyServer *server,
                   const HsBodyEffects *effects,
                   void *arg,
                   HsTime now)
{
  HsBodyShare *share = talloc_zero (ctx, HsBodyShare);

  share->budget = budget;
  share->server = server;
  share->effects = effects;
  share->arg = arg;
  share->next = budget->shares;
  if (share->next != NULL)
    share->next->previous = share;
  budget->shares = share;
  budget->stats.bytes += server->connection_bytes;
  server->n_connections++;
  choose_receive_buffer (share);
  talloc_set_destructor (share, free_share);
  hs_body_share_end (share, now);
  limit_connections (share, now);
  return share;
}

size_t
hs_body_share_receive_bytes (const HsBodyShare *share)
{
  return share->receive_bytes;
}

void
hs_body_share_begin (HsBodyShare *share, HsTime now)
{
  if (share->state != SHARE_WAITING)
    return;
  share->state = SHARE_RECEIVING;
  share->received_at = now;
}

void
hs_body_share_expect (HsBodyShare *share, size_t missing)
{
  share->missing = missing;
}

void
hs_body_share_received (HsBodyShare *share, size_t n, HsTime now)
{
  HsTime silence = MAX (now - share->received_at, 0);

  if (silence > 0)
    share->recent_bytes *= exp2 (-(double) silence / (double) RATE_HALF_LIFE);
  share->recent_bytes += (double) n;
  share->received_at = now;
  share->missing -= MIN (share->missing, n);
}

bool
hs_body_share_reserve (HsBodyShare *share, size_t bytes, HsTime now)
{
  bool ok = make_room (share, bytes, now);

  if (!ok)
    share->budget->stats.dropped_bodies++;
  set_bytes (share, ok ? bytes : 0);
  return ok;
}

bool
hs_body_share_keep (HsBodyShare *share, size_t *bytes)
{
  HsBodyBudget *budget = share->budget;
  size_t max_bytes = (size_t) ((double) budget->max_bytes * KEPT_SHARE);
  size_t connection_bytes
      = share->server->max_connections * share->server->connection_bytes;

  if (share->bytes > ORDINARY_BYTES
      && connection_bytes + budget->kept_bytes + share->bytes > max_bytes)
    return false;
  *bytes = share->bytes;
  budget->kept_bytes += share->bytes;
  share->bytes = 0;
  return true;
}

void
hs_body_budget_release (HsBodyBudget *budget, size_t bytes)
{
  budget->kept_bytes -= bytes;
  budget->stats.bytes -= bytes;
}

void
hs_body_share_release (HsBodyShare *share)
{
  set_bytes (share, 0);
}

void
hs_body_share_complete (HsBodyShare *share)
{
  if (share->state == SHARE_RECEIVING)
    share->state = SHARE_COMPLETE;
}

void
hs_body_share_end (HsBodyShare *share, HsTime now)
{
  set_bytes (share, 0);
  if (share->state == SHARE_CLOSING)
    return;
  share->state = SHARE_WAITING;
  share->missing = HEADER_BYTES;
  share->recent_bytes = INITIAL_BYTES;
  share->received_at = now;
}
