#include "policy/loans.h"

#include "policy/random.h"

/* Maximum number of peers with an open request from this entry. */
#define REQUESTS_MAX 2

/* Backoff before a peer that lent nothing is asked again. Doubles each time. */
#define BACKOFF_MIN (5 * HS_MSEC)
#define BACKOFF_MAX (1 * HS_SEC)

/* Only credits that were idle for this long are lent while no tasks wait
 * here: each loan costs two messages, so credits that are soon needed again
 * are kept. */
#define IDLE_BEFORE_LOAN (50 * HS_MSEC)

/* A smaller number of credits is lent only if the peer asked for fewer or has
 * waited for LOAN_BATCH_WAIT. */
#define LOAN_BATCH_MIN 4
#define LOAN_BATCH_WAIT (30 * HS_MSEC)

/* Peers are asked only after tasks have waited this long for a credit, as often
 * one of this entry's own becomes free sooner. */
#define REQUEST_DELAY (5 * HS_MSEC)

typedef struct
{
  bool known;
  bool request_open;            /* A request to the peer is unanswered. */
  bool peer_request_open;       /* A request of the peer is unanswered. */
  uint32_t reported_idle;       /* Idle credits in its last reply. */
  uint32_t n_expected;          /* Credits expected from the open request. */
  HsTime backoff;               /* 0 after a loan. */
  HsTime next_request_at;       /* Earliest time of the next request. */
  HsTime peer_requested_at;     /* When its request arrived. */
  hsx_borrow_args peer_request; /* Its request. */
} Peer;

struct HsLoans
{
  uint64_t random;
  uint32_t n_peers;
  uint32_t n_requests;
  uint32_t n_expected;
  uint32_t next_peer; /* The peer whose request is checked first. */
  Peer *peers;
  /* When the shortage began. Without one: HS_NEVER - REQUEST_DELAY, so that
     adding REQUEST_DELAY gives HS_NEVER without overflow. */
  HsTime shortage_since;
  HsTime window_end; /* End of the current window of IDLE_BEFORE_LOAN. */
  uint32_t idle;     /* Idle credits at the last check. */
  uint32_t idle_min; /* Minimum of idle in this window. */
  uint32_t previous_idle_min; /* Minimum of idle in the previous window. */
};

static void close_request (HsLoans *loans, Peer *p);
static uint32_t choose_peer (HsLoans *loans, HsTime now);
static uint32_t count_lendable (const HsLoans *loans,
                                const HsCreditDemand *demand,
                                const hsx_borrow_args *args);
static HsTime reply_due_at (const Peer *p, uint32_t n);
static void
update_shortage (HsLoans *loans, const HsCreditDemand *demand, HsTime now);
static void update_idle_min (HsLoans *loans, uint32_t idle, HsTime now);

HsLoans *
hs_loans_new (TALLOC_CTX *ctx, uint64_t seed)
{
  HsLoans *loans = talloc_zero (ctx, HsLoans);

  loans->random = seed;
  loans->shortage_since = HS_NEVER - REQUEST_DELAY;
  return loans;
}

void
hs_loans_add_peer (HsLoans *loans, uint32_t peer)
{
  if (peer >= loans->n_peers)
    {
      loans->peers = talloc_realloc (loans, loans->peers, Peer, peer + 1);
      for (; loans->n_peers <= peer; loans->n_peers++)
        loans->peers[loans->n_peers] = (Peer){ .known = false };
    }
  loans->peers[peer].known = true;
}

void
hs_loans_remove_peer (HsLoans *loans, uint32_t peer)
{
  if (peer >= loans->n_peers)
    return;
  close_request (loans, &loans->peers[peer]);
  loans->peers[peer] = (Peer){ .known = false };
}

bool
hs_loans_next_request (HsLoans *loans,
                       const HsCreditDemand *demand,
                       HsTime now,
                       uint32_t *peer,
                       hsx_borrow_args *args)
{
  uint32_t best;
  Peer *p;

  update_shortage (loans, demand, now);
  if (now < loans->shortage_since + REQUEST_DELAY
      || demand->queued <= demand->idle + loans->n_expected
      || loans->n_requests == REQUESTS_MAX)
    return false;
  best = choose_peer (loans, now);
  if (best == UINT32_MAX)
    return false;
  p = &loans->peers[best];
  args->want = demand->queued - demand->idle - loans->n_expected;
  args->held = demand->idle + demand->in_use;
  args->weight = demand->weight > 0 ? demand->weight : 1;
  p->request_open = true;
  p->n_expected = args->want < p->reported_idle ? args->want : p->reported_idle;
  loans->n_expected += p->n_expected;
  loans->n_requests++;
  *peer = best;
  return true;
}

void
hs_loans_reply_received (HsLoans *loans,
                         uint32_t peer,
                         uint32_t n,
                         uint32_t idle,
                         HsTime now)
{
  Peer *p;

  if (peer >= loans->n_peers || !loans->peers[peer].request_open)
    return;
  p = &loans->peers[peer];
  close_request (loans, p);
  p->reported_idle = idle;
  if (n > 0)
    {
      p->backoff = 0;
      p->next_request_at = now;
      return;
    }
  p->backoff = p->backoff > 0 ? p->backoff * 2 : BACKOFF_MIN;
  if (p->backoff > BACKOFF_MAX)
    p->backoff = BACKOFF_MAX;
  p->next_request_at
      = now
        + (HsTime) ((double) p->backoff
                    * (0.5 + 0.5 * hs_random_unit (&loans->random)));
}

HsTime
hs_loans_next_request_at (const HsLoans *loans)
{
  HsTime earliest = HS_NEVER;
  uint32_t i;

  if (loans->n_requests == REQUESTS_MAX || loans->n_expected > 0)
    return HS_NEVER;
  for (i = 0; i < loans->n_peers; i++)
    {
      const Peer *p = &loans->peers[i];

      if (p->known && !p->request_open && p->next_request_at < earliest)
        earliest = p->next_request_at;
    }
  return earliest > loans->shortage_since + REQUEST_DELAY
             ? earliest
             : loans->shortage_since + REQUEST_DELAY;
}

void
hs_loans_request_received (HsLoans *loans,
                           uint32_t peer,
                           const hsx_borrow_args *args,
                           HsTime now)
{
  Peer *p;

  hs_loans_add_peer (loans, peer);
  p = &loans->peers[peer];
  p->peer_request_open = true;
  p->peer_request = *args;
  p->peer_requested_at = now;
}

bool
hs_loans_next_reply (HsLoans *loans,
                     const HsCreditDemand *demand,
                     HsTime now,
                     uint32_t *peer,
                     uint32_t *n)
{
  uint32_t i;

  update_idle_min (loans, demand->idle, now);
  for (i = 0; i < loans->n_peers; i++)
    {
      uint32_t candidate = (loans->next_peer + i) % loans->n_peers;
      Peer *p = &loans->peers[candidate];

      if (!p->known || !p->peer_request_open)
        continue;
      *n = count_lendable (loans, demand, &p->peer_request);
      if (now < reply_due_at (p, *n))
        continue;
      p->peer_request_open = false;
      loans->next_peer = candidate + 1;
      *peer = candidate;
      return true;
    }
  return false;
}

HsTime
hs_loans_next_reply_at (const HsLoans *loans)
{
  HsTime earliest = HS_NEVER;
  uint32_t i;

  for (i = 0; i < loans->n_peers; i++)
    {
      const Peer *p = &loans->peers[i];

      if (!p->peer_request_open)
        continue;
      if (reply_due_at (p, 0) < earliest)
        earliest = reply_due_at (p, 0);
      if (loans->idle > 0 && loans->window_end < earliest)
        earliest = loans->window_end;
    }
  return earliest;
}

static void
close_request (HsLoans *loans, Peer *p)
{
  if (!p->request_open)
    return;
  p->request_open = false;
  loans->n_expected -= p->n_expected;
  loans->n_requests--;
}

/* Returns the peer that last reported the most idle credits, or UINT32_MAX.
 * Chooses between equals at random, so that entries don't all ask the same
 * one. */
static uint32_t
choose_peer (HsLoans *loans, HsTime now)
{
  uint32_t best = UINT32_MAX;
  uint32_t n_equal = 0;
  uint32_t i;

  for (i = 0; i < loans->n_peers; i++)
    {
      const Peer *p = &loans->peers[i];

      if (!p->known || p->request_open || now < p->next_request_at)
        continue;
      if (best != UINT32_MAX
          && p->reported_idle < loans->peers[best].reported_idle)
        continue;
      n_equal = best != UINT32_MAX
                        && p->reported_idle == loans->peers[best].reported_idle
                    ? n_equal + 1
                    : 1;
      if (hs_random_below (&loans->random, n_equal) == 0)
        best = i;
    }
  return best;
}

/* Returns the number of credits that can be lent. If no tasks wait here, these
 * are the credits that stayed idle; otherwise only as many as the peer lacks of
 * its weighted share of the credits that both hold. */
static uint32_t
count_lendable (const HsLoans *loans,
                const HsCreditDemand *demand,
                const hsx_borrow_args *args)
{
  uint32_t lendable = loans->idle_min < loans->previous_idle_min
                          ? loans->idle_min
                          : loans->previous_idle_min;

  if (demand->queued > 0)
    {
      uint64_t total_held
          = (uint64_t) demand->idle + demand->in_use + args->held;
      uint64_t total_weight = (uint64_t) demand->weight + args->weight;
      uint64_t share
          = total_weight > 0 ? total_held * args->weight / total_weight : 0;

      if (share <= args->held)
        return 0;
      lendable = demand->idle;
      if (share - args->held < lendable)
        lendable = (uint32_t) (share - args->held);
    }
  return lendable < args->want ? lendable : args->want;
}

/* Returns when the peer's request is answered if @p n credits can be lent. */
static HsTime
reply_due_at (const Peer *p, uint32_t n)
{
  uint32_t batch = p->peer_request.want < LOAN_BATCH_MIN ? p->peer_request.want
                                                         : LOAN_BATCH_MIN;

  if (n == 0)
    return p->peer_requested_at + HS_LOANS_HOLD_MAX;
  return n < batch ? p->peer_requested_at + LOAN_BATCH_WAIT
                   : p->peer_requested_at;
}

static void
update_shortage (HsLoans *loans, const HsCreditDemand *demand, HsTime now)
{
  if (demand->queued <= demand->idle)
    loans->shortage_since = HS_NEVER - REQUEST_DELAY;
  else if (now < loans->shortage_since)
    loans->shortage_since = now;
}

static void
update_idle_min (HsLoans *loans, uint32_t idle, HsTime now)
{
  loans->idle = idle;
  if (now >= loans->window_end)
    {
      loans->previous_idle_min
          = now < loans->window_end + IDLE_BEFORE_LOAN ? loans->idle_min : idle;
      loans->idle_min = idle;
      loans->window_end = now + IDLE_BEFORE_LOAN;
    }
  else if (idle < loans->idle_min)
    loans->idle_min = idle;
}
