/**
 * @file
 * Credits that peer entries lend and borrow.
 */
#include "owner/internal.h"

#define NO_PEER UINT32_MAX

/** Bound on the credits in one reply to a peer. */
#define LOAN_CREDITS_MAX 256

static uint32_t peer_find (const HsOwner *owner, uint64_t incarnation);
static HsCreditDemand current_demand (const HsOwner *owner);
static void answer_due_peers (HsOwner *owner, HsNow now);
static void borrow_from_peers (HsOwner *owner, HsNow now);

void
hs_owner_peer_connected (HsOwner *owner, uint64_t peer, HsNow now)
{
  uint32_t handle = peer_find (owner, peer);

  if (handle != NO_PEER)
    return;
  handle = peer_find (owner, 0);
  if (handle == NO_PEER)
    {
      handle = owner->peers->len;
      g_array_append_val (owner->peers, peer);
    }
  g_array_index (owner->peers, uint64_t, handle) = peer;
  hs_loans_add_peer (owner->loans, handle);
  dispatch_tasks (owner, now);
}

void
hs_owner_peer_disconnected (HsOwner *owner, uint64_t peer, HsNow now)
{
  uint32_t handle = peer_find (owner, peer);

  if (handle == NO_PEER)
    return;
  hs_loans_remove_peer (owner->loans, handle);
  g_array_index (owner->peers, uint64_t, handle) = 0;
  dispatch_tasks (owner, now);
}

void
hs_owner_borrow_request (HsOwner *owner,
                         uint64_t peer,
                         const hsx_borrow_args *args,
                         HsNow now)
{
  hsx_borrow_reply nothing = { 0 };
  uint32_t handle = peer_find (owner, peer);

  if (handle == NO_PEER)
    {
      owner->effects.lend (owner->arg, peer, &nothing);
      return;
    }
  hs_loans_request_received (owner->loans, handle, args, now.mono);
  dispatch_tasks (owner, now);
}

void
hs_owner_borrow_reply (HsOwner *owner,
                       uint64_t peer,
                       const hsx_borrow_reply *reply,
                       HsNow now)
{
  uint32_t handle = peer_find (owner, peer);
  u_int i;

  for (i = 0; reply != NULL && i < reply->credits.credits_len; i++)
    {
      const hsx_credit *credit = &reply->credits.credits_val[i];
      uint32_t of;
      Agent *agent = agent_find (owner, credit->agent, &of);

      if (agent != NULL && agent->state == HSX_MEMBER_UP && agent->connected)
        hs_credits_add (owner->credits, of, credit, HS_CREDIT_BORROWED,
                        now.mono);
    }
  owner->stats.empty_loans += reply == NULL || reply->credits.credits_len == 0;
  if (handle != NO_PEER)
    hs_loans_reply_received (owner->loans, handle,
                             reply != NULL ? reply->credits.credits_len : 0,
                             reply != NULL ? reply->idle : 0, now.mono);
  hs_fair_queue_wake_jobs (owner->queue);
  dispatch_tasks (owner, now);
}

void
exchange_credits (HsOwner *owner, HsNow now)
{
  answer_due_peers (owner, now);
  borrow_from_peers (owner, now);
}

static uint32_t
peer_find (const HsOwner *owner, uint64_t incarnation)
{
  guint i;

  for (i = 0; i < owner->peers->len; i++)
    if (g_array_index (owner->peers, uint64_t, i) == incarnation)
      return i;
  return NO_PEER;
}

static HsCreditDemand
current_demand (const HsOwner *owner)
{
  HsCreditDemand mine;

  mine.queued = hs_fair_queue_ready_length (owner->queue);
  mine.weight = hs_fair_queue_ready_weight (owner->queue);
  mine.idle = hs_credits_idle (owner->credits);
  mine.in_use = hs_credits_in_use (owner->credits);
  return mine;
}

static void
answer_due_peers (HsOwner *owner, HsNow now)
{
  HsCreditDemand mine = current_demand (owner);
  hsx_credit credits[LOAN_CREDITS_MAX];
  uint32_t peer;
  uint32_t n;

  while (hs_loans_next_reply (owner->loans, &mine, now.mono, &peer, &n))
    {
      uint64_t incarnation = g_array_index (owner->peers, uint64_t, peer);
      hsx_borrow_reply reply = { 0 };

      reply.credits.credits_val = credits;
      reply.credits.credits_len
          = hs_credits_lend (owner->credits, MIN (n, LOAN_CREDITS_MAX),
                             now.mono, owner->lease_until - now.mono, credits);
      reply.idle = hs_credits_idle (owner->credits);
      owner->effects.lend (owner->arg, incarnation, &reply);
      mine = current_demand (owner);
    }
}

static void
borrow_from_peers (HsOwner *owner, HsNow now)
{
  HsCreditDemand mine = current_demand (owner);
  hsx_borrow_args args;
  uint32_t peer;

  while (hs_loans_next_request (owner->loans, &mine, now.mono, &peer, &args))
    owner->effects.borrow (owner->arg,
                           g_array_index (owner->peers, uint64_t, peer), &args);
}
