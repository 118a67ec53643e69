#include "entry/promises.h"

#include <string.h>

/* Another entry, both as one that gives promises and as an owner. */
typedef struct
{
  uint64_t entry;
  bool required;        /* The lease is extended only with its promise. */
  HsTime last_known_at; /* When its last record or call was seen. */
  HsTime requested_at;
  HsTime received_until; /* Promise of it to this entry. */
  HsTime given_until;    /* Promise of this entry to it. */
  bool knows_this_entry;
  bool terminated;     /* Its process is known to have terminated. */
  HsTime absent_since; /* When its record was first missing; 0: never. */
} Peer;

struct HsPromises
{
  Peer *peers;
  uint32_t n_peers;
  HsTime store_answered_at;
  HsTime own_record_written_at; /* After the last lease was granted. */
};

static Peer *find_peer (const HsPromises *promises, uint64_t entry);
static Peer *find_or_add_peer (HsPromises *promises, uint64_t entry);
static bool any_promise_given (const HsPromises *promises, HsTime now);

HsPromises *
hs_promises_new (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, HsPromises);
}

void
hs_promises_add_peer (HsPromises *promises, uint64_t peer, HsTime now)
{
  Peer *p = find_or_add_peer (promises, peer);

  p->required = true;
  p->last_known_at = now;
  p->absent_since = 0;
}

bool
hs_promises_remove_peer (HsPromises *promises, uint64_t peer, HsTime read_at)
{
  Peer *p = find_peer (promises, peer);

  if (p == NULL)
    return true;
  if (p->required && p->last_known_at >= read_at)
    return false;
  p->required = false;
  return true;
}

uint64_t
hs_promises_next_required (const HsPromises *promises, uint64_t after)
{
  const Peer *p = after != 0 ? find_peer (promises, after) : NULL;
  uint32_t i = p != NULL ? (uint32_t) (p - promises->peers) + 1 : 0;

  for (; i < promises->n_peers; i++)
    if (promises->peers[i].required)
      return promises->peers[i].entry;
  return 0;
}

void
hs_promises_store_answered (HsPromises *promises, HsTime now)
{
  uint32_t i;

  promises->store_answered_at = now;
  for (i = 0; i < promises->n_peers; i++)
    {
      promises->peers[i].received_until = 0;
      promises->peers[i].requested_at = 0;
    }
}

uint64_t
hs_promises_next_request (HsPromises *promises, HsTime now)
{
  uint32_t i;

  for (i = 0; i < promises->n_peers; i++)
    {
      Peer *p = &promises->peers[i];

      if (!p->required
          || (p->requested_at != 0
              && now - p->requested_at < HS_PROMISE_REQUEST_INTERVAL))
        continue;
      p->requested_at = now;
      return p->entry;
    }
  return 0;
}

void
hs_promises_handle_reply (HsPromises *promises,
                          uint64_t peer,
                          bool promised,
                          HsTime sent)
{
  Peer *p = find_peer (promises, peer);

  /* The reply to a request from before the store last answered is ignored: what
     the peer based it on may have changed since. */
  if (p == NULL || !promised || sent < promises->store_answered_at)
    return;
  if (sent + HS_PROMISE_HOLDER_DURATION > p->received_until)
    p->received_until = sent + HS_PROMISE_HOLDER_DURATION;
}

HsTime
hs_promises_extended_until (const HsPromises *promises)
{
  HsTime until = HS_NEVER;
  uint32_t i;

  for (i = 0; i < promises->n_peers; i++)
    if (promises->peers[i].required
        && promises->peers[i].received_until < until)
      until = promises->peers[i].received_until;
  /* Without peers, this entry can't know whether the store is reachable for an
     entry that has just started. */
  if (until == HS_NEVER || until == 0)
    return 0;
  if (until > promises->store_answered_at + HS_PROMISE_OUTAGE_MAX)
    return promises->store_answered_at + HS_PROMISE_OUTAGE_MAX;
  return until;
}

bool
hs_promises_give (HsPromises *promises,
                  uint64_t owner,
                  HsTime duration,
                  bool store_up,
                  bool no_takeover_pending,
                  HsTime now)
{
  Peer *p;

  if (store_up || !no_takeover_pending || duration <= 0
      || duration > HS_PROMISE_DURATION)
    return false;
  p = find_or_add_peer (promises, owner);
  if (now + duration > p->given_until)
    p->given_until = now + duration;
  return true;
}

void
hs_promises_set_known_to (HsPromises *promises, uint64_t owner, HsTime sent)
{
  /* The owner may only have known an earlier record of this entry. */
  if (sent >= promises->own_record_written_at)
    find_or_add_peer (promises, owner)->knows_this_entry = true;
}

void
hs_promises_set_terminated (HsPromises *promises, uint64_t owner)
{
  find_or_add_peer (promises, owner)->terminated = true;
}

bool
hs_promises_is_terminated (const HsPromises *promises, uint64_t owner)
{
  const Peer *p = find_peer (promises, owner);

  return p != NULL && p->terminated;
}

void
hs_promises_own_record_written (HsPromises *promises, HsTime now)
{
  uint32_t i;

  promises->own_record_written_at = now;
  for (i = 0; i < promises->n_peers; i++)
    {
      promises->peers[i].knows_this_entry = false;
      promises->peers[i].absent_since = 0;
    }
}

bool
hs_promises_may_take_over (HsPromises *promises, uint64_t owner, HsTime now)
{
  Peer *p = find_or_add_peer (promises, owner);

  if (p->absent_since == 0)
    p->absent_since = now;
  if (any_promise_given (promises, now))
    return false;
  return p->terminated || p->knows_this_entry
         || now - p->absent_since > HS_PROMISE_OUTAGE_MAX;
}

/* A promise to an entry whose process has terminated no longer counts. */
static bool
any_promise_given (const HsPromises *promises, HsTime now)
{
  uint32_t i;

  for (i = 0; i < promises->n_peers; i++)
    if (!promises->peers[i].terminated && now < promises->peers[i].given_until)
      return true;
  return false;
}

static Peer *
find_peer (const HsPromises *promises, uint64_t entry)
{
  uint32_t i;

  for (i = 0; i < promises->n_peers; i++)
    if (promises->peers[i].entry == entry)
      return &promises->peers[i];
  return NULL;
}

static Peer *
find_or_add_peer (HsPromises *promises, uint64_t entry)
{
  Peer *p = find_peer (promises, entry);

  if (p != NULL)
    return p;
  promises->peers
      = talloc_realloc (promises, promises->peers, Peer, promises->n_peers + 1);
  p = &promises->peers[promises->n_peers++];
  memset (p, 0, sizeof *p);
  p->entry = entry;
  return p;
}
