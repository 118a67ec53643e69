#include "policy/agent_credits.h"

/* Bounds the table of slots of an agent. */
#define SLOTS_MAX HSX_CREDITS_MAX

/* Slots that are added to the table at a time. */
#define SLOTS_STEP 8

/* A start is sent only if the agent would still accept it this much later:
 * one way over the network, a loop's turn at either end. */
#define PERMIT_MARGIN (50 * HS_MSEC)

/* Clock offsets are forgotten after two windows, so that clock drift can't
 * add up. */
#define OFFSET_WINDOW (30 * HS_SEC)

static void reserve (TALLOC_CTX *ctx, HsAgentCredits *a, uint32_t slot);
static bool is_spent (const HsCreditSlot *slot,
                      const hsx_credit *credit,
                      HsCreditSource source);
static HsHeldCredit *find (HsAgentCredits *a, uint32_t slot);
static void learn_clock (HsAgentCredits *a, int64_t stamp, HsTime now);
static int64_t agent_clock (const HsAgentCredits *a, HsTime now);

void
hs_agent_credits_free (HsAgentCredits *a)
{
  talloc_free (a->idle);
  talloc_free (a->slots);
  *a = (HsAgentCredits){ .n_idle = 0 };
}

void
hs_agent_credits_clear (HsAgentCredits *a)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < a->n_idle; i++)
    if (a->idle[i].is_loan)
      a->idle[n++] = a->idle[i];
  a->n_idle = n;
}

bool
hs_agent_credits_keep (TALLOC_CTX *ctx,
                       HsAgentCredits *a,
                       const hsx_credit *credit,
                       HsCreditSource source,
                       HsTime now)
{
  HsHeldCredit *held;

  if (credit->slot >= SLOTS_MAX || credit->generation == UINT32_MAX)
    return false;
  learn_clock (a, credit->stamp_us, now);
  reserve (ctx, a, credit->slot);
  if (is_spent (&a->slots[credit->slot], credit, source))
    return false;
  held = find (a, credit->slot);
  if (held != NULL && held->credit.generation > credit->generation)
    return false;
  if (held == NULL)
    held = &a->idle[a->n_idle++];
  held->credit = *credit;
  held->is_loan = source == HS_CREDIT_LENT;
  return true;
}

bool
hs_agent_credits_usable (HsAgentCredits *a, HsTime now, HsTime lease_left)
{
  int64_t clock;

  if (a->n_idle == 0)
    return false;
  clock = agent_clock (a, now) + PERMIT_MARGIN;
  while (a->n_idle > 0 && a->idle[a->n_idle - 1].is_loan
         && clock - a->idle[a->n_idle - 1].credit.stamp_us >= HS_LOAN_LIFE)
    a->n_idle--;
  return a->n_idle > 0 && lease_left > PERMIT_MARGIN;
}

bool
hs_agent_credits_has_loan (const HsAgentCredits *a)
{
  return a->n_idle > 0 && a->idle[a->n_idle - 1].is_loan;
}

hsx_credit
hs_agent_credits_pop (HsAgentCredits *a, bool to_lend)
{
  hsx_credit credit = a->idle[--a->n_idle].credit;
  HsCreditSlot *slot = &a->slots[credit.slot];

  credit.stamp_us = a->stamp;
  slot->next_generation = credit.generation + 1;
  slot->is_lent = to_lend;
  slot->lent_stamp = credit.stamp_us;
  return credit;
}

static void
reserve (TALLOC_CTX *ctx, HsAgentCredits *a, uint32_t slot)
{
  size_t n = talloc_array_length (a->slots);
  size_t size = slot + SLOTS_STEP;

  if (slot < n)
    return;
  a->slots = talloc_realloc (ctx, a->slots, HsCreditSlot, size);
  a->idle = talloc_realloc (ctx, a->idle, HsHeldCredit, size);
  for (; n < size; n++)
    a->slots[n] = (HsCreditSlot){ .next_generation = 0 };
}

/* A lent credit is taken back from the hand of its borrower, or when it
 * turns out that the borrower let it expire. */
static bool
is_spent (const HsCreditSlot *slot,
          const hsx_credit *credit,
          HsCreditSource source)
{
  if (credit->generation >= slot->next_generation)
    return false;
  if (credit->generation + 1 < slot->next_generation || !slot->is_lent)
    return true;
  switch (source)
    {
    case HS_CREDIT_GRANTED:
      return credit->stamp_us < slot->lent_stamp + HS_LOAN_LIFE + PERMIT_MARGIN;
    case HS_CREDIT_LENT:
      return false;
    case HS_CREDIT_RETURNED:
      break;
    }
  return true;
}

static HsHeldCredit *
find (HsAgentCredits *a, uint32_t slot)
{
  uint32_t i;

  for (i = 0; i < a->n_idle; i++)
    if (a->idle[i].credit.slot == slot)
      return &a->idle[i];
  return NULL;
}

/* The agent's clock can't be behind a stamp of it that has arrived. */
static void
learn_clock (HsAgentCredits *a, int64_t stamp, HsTime now)
{
  int64_t offset = stamp - now;

  if (a->window_end == 0)
    a->earlier_offset = offset;
  if (a->window_end == 0 || stamp > a->stamp)
    {
      a->stamp = stamp;
      a->stamp_received = now;
    }
  if (a->window_end == 0 || now >= a->window_end)
    {
      if (a->window_end != 0)
        a->earlier_offset = a->offset;
      a->offset = offset;
      a->window_end = now + OFFSET_WINDOW;
    }
  else if (offset > a->offset)
    a->offset = offset;
}

static int64_t
agent_clock (const HsAgentCredits *a, HsTime now)
{
  return now + (a->offset > a->earlier_offset ? a->offset : a->earlier_offset);
}
