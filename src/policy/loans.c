#include "policy/loans.h"

#include "policy/random.h"

/* Peers are asked at most this many at a time. */
#define ASKS_MAX 2

/* Wait before a peer that lent nothing is asked again: doubled each time. */
#define PAUSE_MIN (5 * HS_MSEC)
#define PAUSE_MAX (1 * HS_SEC)

/* Credits are lent that were idle this long: those that this entry would
 * need again at once are not, since each loan is two messages. */
#define LINGER (50 * HS_MSEC)

/* Few credits are lent only to a peer that wants few, or has waited long. */
#define BATCH 4
#define BATCH_WAIT (30 * HS_MSEC)

/* Peers are asked once tasks have waited this long for a credit: often one
 * of this entry's own comes back sooner. */
#define ASK_AFTER (5 * HS_MSEC)

typedef struct
{
  bool known;
  bool asking;          /* Our question to it is open. */
  bool asks;            /* Its question to us is open. */
  uint32_t idle;        /* As it last told. */
  uint32_t asking_for;  /* Credits in our open question. */
  HsTime pause;         /* 0 after a success. */
  HsTime ask_at;        /* Not before. */
  HsTime asked_at;      /* Of its question. */
  hsx_borrow_args args; /* Of its question. */
} Peer;

struct HsLoans
{
  uint64_t random;
  uint32_t n_peers;
  uint32_t n_asking;
  uint32_t asking_for;
  uint32_t next; /* Whose question is looked at first. */
  Peer *peers;
  HsTime short_since;   /* HS_NEVER: not short of credits. */
  HsTime window_end;    /* Of the present window, LINGER long. */
  uint32_t idle;        /* Credits, as last seen; */
  uint32_t low;         /* the least in this window, */
  uint32_t earlier_low; /* and in the one before. */
};

static void close_ask (HsLoans *loans, Peer *p);
static uint32_t best_peer (HsLoans *loans, HsTime now);
static uint32_t may_lend (const HsLoans *loans,
                          const HsDemand *mine,
                          const hsx_borrow_args *args);
static HsTime answer_at (const Peer *p, uint32_t n);
static void note_shortage (HsLoans *loans, const HsDemand *mine, HsTime now);
static void note_idle (HsLoans *loans, uint32_t idle, HsTime now);

HsLoans *
hs_loans_new (TALLOC_CTX *ctx, uint64_t seed)
{
  HsLoans *loans = talloc_zero (ctx, HsLoans);

  loans->random = seed;
  loans->short_since = HS_NEVER - ASK_AFTER;
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
hs_loans_drop_peer (HsLoans *loans, uint32_t peer)
{
  if (peer >= loans->n_peers)
    return;
  close_ask (loans, &loans->peers[peer]);
  loans->peers[peer] = (Peer){ .known = false };
}

bool
hs_loans_ask (HsLoans *loans,
              const HsDemand *mine,
              HsTime now,
              uint32_t *peer,
              hsx_borrow_args *args)
{
  uint32_t best;
  Peer *p;

  note_shortage (loans, mine, now);
  if (now < loans->short_since + ASK_AFTER
      || mine->queued <= mine->idle + loans->asking_for
      || loans->n_asking == ASKS_MAX)
    return false;
  best = best_peer (loans, now);
  if (best == UINT32_MAX)
    return false;
  p = &loans->peers[best];
  args->want = mine->queued - mine->idle - loans->asking_for;
  args->held = mine->idle + mine->in_use;
  args->weight = mine->weight > 0 ? mine->weight : 1;
  p->asking = true;
  p->asking_for = args->want < p->idle ? args->want : p->idle;
  loans->asking_for += p->asking_for;
  loans->n_asking++;
  *peer = best;
  return true;
}

void
hs_loans_answered (HsLoans *loans,
                   uint32_t peer,
                   uint32_t n,
                   uint32_t idle,
                   HsTime now)
{
  Peer *p;

  if (peer >= loans->n_peers || !loans->peers[peer].asking)
    return;
  p = &loans->peers[peer];
  close_ask (loans, p);
  p->idle = idle;
  if (n > 0)
    {
      p->pause = 0;
      p->ask_at = now;
      return;
    }
  p->pause = p->pause > 0 ? p->pause * 2 : PAUSE_MIN;
  if (p->pause > PAUSE_MAX)
    p->pause = PAUSE_MAX;
  p->ask_at = now
              + (HsTime) ((double) p->pause
                          * (0.5 + 0.5 * hs_random_unit (&loans->random)));
}

HsTime
hs_loans_ask_at (const HsLoans *loans)
{
  HsTime at = HS_NEVER;
  uint32_t i;

  if (loans->n_asking == ASKS_MAX || loans->asking_for > 0)
    return HS_NEVER;
  for (i = 0; i < loans->n_peers; i++)
    {
      const Peer *p = &loans->peers[i];

      if (p->known && !p->asking && p->ask_at < at)
        at = p->ask_at;
    }
  return at > loans->short_since + ASK_AFTER ? at
                                             : loans->short_since + ASK_AFTER;
}

void
hs_loans_asked (HsLoans *loans,
                uint32_t peer,
                const hsx_borrow_args *args,
                HsTime now)
{
  Peer *p;

  hs_loans_add_peer (loans, peer);
  p = &loans->peers[peer];
  p->asks = true;
  p->args = *args;
  p->asked_at = now;
}

bool
hs_loans_due (HsLoans *loans,
              const HsDemand *mine,
              HsTime now,
              uint32_t *peer,
              uint32_t *n)
{
  uint32_t i;

  note_idle (loans, mine->idle, now);
  for (i = 0; i < loans->n_peers; i++)
    {
      uint32_t at = (loans->next + i) % loans->n_peers;
      Peer *p = &loans->peers[at];

      if (!p->known || !p->asks)
        continue;
      *n = may_lend (loans, mine, &p->args);
      if (now < answer_at (p, *n))
        continue;
      p->asks = false;
      loans->next = at + 1;
      *peer = at;
      return true;
    }
  return false;
}

HsTime
hs_loans_due_at (const HsLoans *loans)
{
  HsTime at = HS_NEVER;
  uint32_t i;

  for (i = 0; i < loans->n_peers; i++)
    {
      const Peer *p = &loans->peers[i];

      if (!p->asks)
        continue;
      if (answer_at (p, 0) < at)
        at = answer_at (p, 0);
      if (loans->idle > 0 && loans->window_end < at)
        at = loans->window_end;
    }
  return at;
}

static void
close_ask (HsLoans *loans, Peer *p)
{
  if (!p->asking)
    return;
  p->asking = false;
  loans->asking_for -= p->asking_for;
  loans->n_asking--;
}

/* The one that last told of the most idle credits; among equals at random,
 * so that entries don't all ask the same one. */
static uint32_t
best_peer (HsLoans *loans, HsTime now)
{
  uint32_t best = UINT32_MAX;
  uint32_t n_equal = 0;
  uint32_t i;

  for (i = 0; i < loans->n_peers; i++)
    {
      const Peer *p = &loans->peers[i];

      if (!p->known || p->asking || now < p->ask_at)
        continue;
      if (best != UINT32_MAX && p->idle < loans->peers[best].idle)
        continue;
      n_equal = best != UINT32_MAX && p->idle == loans->peers[best].idle
                    ? n_equal + 1
                    : 1;
      if (hs_random_below (&loans->random, n_equal) == 0)
        best = i;
    }
  return best;
}

/* What stayed idle while nothing waits here; else only what the other lacks
 * to its share of what both hold. */
static uint32_t
may_lend (const HsLoans *loans,
          const HsDemand *mine,
          const hsx_borrow_args *args)
{
  uint32_t spare
      = loans->low < loans->earlier_low ? loans->low : loans->earlier_low;

  if (mine->queued > 0)
    {
      uint64_t both = (uint64_t) mine->idle + mine->in_use + args->held;
      uint64_t weights = (uint64_t) mine->weight + args->weight;
      uint64_t share = weights > 0 ? both * args->weight / weights : 0;

      if (share <= args->held)
        return 0;
      spare = mine->idle;
      if (share - args->held < spare)
        spare = (uint32_t) (share - args->held);
    }
  return spare < args->want ? spare : args->want;
}

/* When a peer's question is answered if n credits can be lent by then. */
static HsTime
answer_at (const Peer *p, uint32_t n)
{
  uint32_t enough = p->args.want < BATCH ? p->args.want : BATCH;

  if (n == 0)
    return p->asked_at + HS_LOANS_HOLD;
  return n < enough ? p->asked_at + BATCH_WAIT : p->asked_at;
}

static void
note_shortage (HsLoans *loans, const HsDemand *mine, HsTime now)
{
  if (mine->queued <= mine->idle)
    loans->short_since = HS_NEVER - ASK_AFTER;
  else if (now < loans->short_since)
    loans->short_since = now;
}

static void
note_idle (HsLoans *loans, uint32_t idle, HsTime now)
{
  loans->idle = idle;
  if (now >= loans->window_end)
    {
      loans->earlier_low = now < loans->window_end + LINGER ? loans->low : idle;
      loans->low = idle;
      loans->window_end = now + LINGER;
    }
  else if (idle < loans->low)
    loans->low = idle;
}
