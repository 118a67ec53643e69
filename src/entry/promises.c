#include "entry/promises.h"

#include <string.h>

/* One other entry, both as giver of promises and as owner. */
typedef struct
{
  uint64_t entry;
  bool needed;     /* Nothing is extended without its promise. */
  HsTime known_at; /* When it was last known by record or call. */
  HsTime asked_at;
  HsTime held_until;  /* Its promise to this entry. */
  HsTime given_until; /* This entry's promise to it. */
  bool met;
  bool gone;
  HsTime absent_since; /* Its record was first missed; 0: not yet. */
} Peer;

struct HsPromises
{
  Peer *peers;
  uint32_t n;
  HsTime store_answered;
  HsTime recorded_at; /* When this entry's record was last written anew. */
};

static Peer *find (const HsPromises *promises, uint64_t entry);
static Peer *find_or_add (HsPromises *promises, uint64_t entry);
static bool promised_any (const HsPromises *promises, HsTime now);

HsPromises *
hs_promises_new (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, HsPromises);
}

void
hs_promises_peer (HsPromises *promises, uint64_t peer, HsTime now)
{
  Peer *p = find_or_add (promises, peer);

  p->needed = true;
  p->known_at = now;
  p->absent_since = 0;
}

bool
hs_promises_forget (HsPromises *promises, uint64_t peer, HsTime read_at)
{
  Peer *p = find (promises, peer);

  if (p == NULL)
    return true;
  if (p->needed && p->known_at >= read_at)
    return false;
  p->needed = false;
  return true;
}

uint64_t
hs_promises_needed (const HsPromises *promises, uint64_t after)
{
  const Peer *p = after != 0 ? find (promises, after) : NULL;
  uint32_t i = p != NULL ? (uint32_t) (p - promises->peers) + 1 : 0;

  for (; i < promises->n; i++)
    if (promises->peers[i].needed)
      return promises->peers[i].entry;
  return 0;
}

void
hs_promises_store_answered (HsPromises *promises, HsTime now)
{
  uint32_t i;

  promises->store_answered = now;
  for (i = 0; i < promises->n; i++)
    {
      promises->peers[i].held_until = 0;
      promises->peers[i].asked_at = 0;
    }
}

uint64_t
hs_promises_next (HsPromises *promises, HsTime now)
{
  uint32_t i;

  for (i = 0; i < promises->n; i++)
    {
      Peer *p = &promises->peers[i];

      if (!p->needed
          || (p->asked_at != 0 && now - p->asked_at < HS_PROMISE_PERIOD))
        continue;
      p->asked_at = now;
      return p->entry;
    }
  return 0;
}

void
hs_promises_answered (HsPromises *promises,
                      uint64_t peer,
                      bool promised,
                      HsTime sent)
{
  Peer *p = find (promises, peer);

  /* An answer to a question from before the store answered is void: its
     giver may have been told otherwise since. */
  if (p == NULL || !promised || sent < promises->store_answered)
    return;
  if (sent + HS_PROMISE_HELD > p->held_until)
    p->held_until = sent + HS_PROMISE_HELD;
}

HsTime
hs_promises_extended (const HsPromises *promises)
{
  HsTime until = HS_NEVER;
  uint32_t i;

  for (i = 0; i < promises->n; i++)
    if (promises->peers[i].needed && promises->peers[i].held_until < until)
      until = promises->peers[i].held_until;
  /* Alone, an entry can't know whether the store is up for a new one. */
  if (until == HS_NEVER || until == 0)
    return 0;
  if (until > promises->store_answered + HS_PROMISE_OUTAGE_MAX)
    return promises->store_answered + HS_PROMISE_OUTAGE_MAX;
  return until;
}

bool
hs_promises_give (HsPromises *promises,
                  uint64_t owner,
                  HsTime span,
                  bool store_up,
                  bool settled,
                  HsTime now)
{
  Peer *p;

  if (store_up || !settled || span <= 0 || span > HS_PROMISE_SPAN)
    return false;
  p = find_or_add (promises, owner);
  if (now + span > p->given_until)
    p->given_until = now + span;
  return true;
}

void
hs_promises_met (HsPromises *promises, uint64_t owner, HsTime sent)
{
  /* That owner may have forgotten the record of before. */
  if (sent >= promises->recorded_at)
    find_or_add (promises, owner)->met = true;
}

void
hs_promises_gone (HsPromises *promises, uint64_t owner)
{
  find_or_add (promises, owner)->gone = true;
}

bool
hs_promises_is_gone (const HsPromises *promises, uint64_t owner)
{
  const Peer *p = find (promises, owner);

  return p != NULL && p->gone;
}

void
hs_promises_unknown_to_all (HsPromises *promises, HsTime now)
{
  uint32_t i;

  promises->recorded_at = now;
  for (i = 0; i < promises->n; i++)
    {
      promises->peers[i].met = false;
      promises->peers[i].absent_since = 0;
    }
}

bool
hs_promises_may_take (HsPromises *promises, uint64_t owner, HsTime now)
{
  Peer *p = find_or_add (promises, owner);

  if (p->absent_since == 0)
    p->absent_since = now;
  if (promised_any (promises, now))
    return false;
  return p->gone || p->met || now - p->absent_since > HS_PROMISE_OUTAGE_MAX;
}

/* A promise to an entry whose process is gone binds no longer. */
static bool
promised_any (const HsPromises *promises, HsTime now)
{
  uint32_t i;

  for (i = 0; i < promises->n; i++)
    if (!promises->peers[i].gone && now < promises->peers[i].given_until)
      return true;
  return false;
}

static Peer *
find (const HsPromises *promises, uint64_t entry)
{
  uint32_t i;

  for (i = 0; i < promises->n; i++)
    if (promises->peers[i].entry == entry)
      return &promises->peers[i];
  return NULL;
}

static Peer *
find_or_add (HsPromises *promises, uint64_t entry)
{
  Peer *p = find (promises, entry);

  if (p != NULL)
    return p;
  promises->peers
      = talloc_realloc (promises, promises->peers, Peer, promises->n + 1);
  p = &promises->peers[promises->n++];
  memset (p, 0, sizeof *p);
  p->entry = entry;
  return p;
}
