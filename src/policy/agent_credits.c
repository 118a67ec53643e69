#include "policy/agent_credits.h"

/* Bounds the size of the slot table of an agent. */
#define SLOTS_MAX HSX_CREDITS_MAX

/* Number of slots by which the table grows. */
#define SLOT_TABLE_STEP 8

/* A credit is used only if the agent would still accept the start this much
 * later. This covers the one-way network delay and one event loop iteration at
 * each end. */
#define PERMIT_MARGIN (50 * HS_MSEC)

/* A clock offset sample is discarded after at most two windows, so that clock
 * drift does not accumulate. */
#define CLOCK_OFFSET_WINDOW (30 * HS_SEC)

static bool
is_overtaken (const HsAgentCredits *a, uint32_t n, const hsx_credit *credits);
static void drop_granted (HsAgentCredits *a);
static void reserve_slot (TALLOC_CTX *ctx, HsAgentCredits *a, uint32_t slot);
static bool is_used_up (const HsCreditSlot *slot,
                        const hsx_credit *credit,
                        HsCreditSource source);
static bool
store_idle (HsAgentCredits *a, const hsx_credit *credit, HsCreditSource source);
static void
end_used_loans (HsAgentCredits *a, uint32_t n, const hsx_credit *credits);
static void end_loan (HsAgentCredits *a, HsCreditSlot *slot);
static hsx_credit remove_newest (HsAgentCredits *a);
static HsIdleCredit *find_idle (HsAgentCredits *a, uint32_t slot);
static void update_clock_offset (HsAgentCredits *a, int64_t stamp, HsTime now);
static int64_t estimate_agent_clock (const HsAgentCredits *a, HsTime now);

void
hs_agent_credits_free (HsAgentCredits *a)
{
  talloc_free (a->idle);
  talloc_free (a->slots);
  *a = (HsAgentCredits){ .n_idle = 0 };
}

void
hs_agent_credits_grant (TALLOC_CTX *ctx,
                        HsAgentCredits *a,
                        uint32_t n,
                        const hsx_credit *credits,
                        HsTime now)
{
  bool overtaken = is_overtaken (a, n, credits);
  uint32_t i;

  if (!overtaken)
    drop_granted (a);
  for (i = 0; i < n; i++)
    hs_agent_credits_add (ctx, a, &credits[i], HS_CREDIT_GRANTED, now);
  if (!overtaken)
    end_used_loans (a, n, credits);
}

bool
hs_agent_credits_add (TALLOC_CTX *ctx,
                      HsAgentCredits *a,
                      const hsx_credit *credit,
                      HsCreditSource source,
                      HsTime now)
{
  HsCreditSlot *slot;

  if (credit->slot >= SLOTS_MAX || credit->generation == UINT32_MAX)
    return false;
  update_clock_offset (a, credit->stamp_us, now);
  if (source != HS_CREDIT_BORROWED && credit->stamp_us > a->written_stamp)
    a->written_stamp = credit->stamp_us;
  reserve_slot (ctx, a, credit->slot);
  slot = &a->slots[credit->slot];
  if (is_used_up (slot, credit, source))
    return false;
  if (slot->is_lent)
    end_loan (a, slot);
  if (slot->was_lent)
    slot->next_generation = credit->generation;
  slot->was_lent = false;
  return store_idle (a, credit, source);
}

bool
hs_agent_credits_has_usable (HsAgentCredits *a, HsTime now, HsTime lease_left)
{
  int64_t clock;

  if (now - a->stamp_received_at >= HS_STAMP_AGE_MAX)
    a->n_idle = 0;
  if (a->n_idle == 0)
    return false;
  clock = estimate_agent_clock (a, now) + PERMIT_MARGIN;
  while (a->n_idle > 0 && a->idle[a->n_idle - 1].is_loan
         && clock - a->idle[a->n_idle - 1].credit.stamp_us >= HS_LOAN_LIFETIME)
    a->n_idle--;
  return a->n_idle > 0 && lease_left > PERMIT_MARGIN;
}

bool
hs_agent_credits_newest_is_loan (const HsAgentCredits *a)
{
  return a->n_idle > 0 && a->idle[a->n_idle - 1].is_loan;
}

hsx_credit
hs_agent_credits_pop (HsAgentCredits *a)
{
  hsx_credit credit = remove_newest (a);

  credit.stamp_us = a->latest_stamp;
  return credit;
}

/* The borrower counts the permit from the time at which it receives the stamp,
 * so the stamp is advanced by the time for which it has been held here. The
 * maximum clock drift over that time is subtracted: the stamp must not be ahead
 * of the agent's clock. */
hsx_credit
hs_agent_credits_lend (HsAgentCredits *a, HsTime now)
{
  HsTime age = now - a->stamp_received_at;
  bool is_loan = hs_agent_credits_newest_is_loan (a);
  hsx_credit credit = remove_newest (a);
  HsCreditSlot *slot = &a->slots[credit.slot];

  slot->lent_credit = credit;
  credit.stamp_us = a->latest_stamp + age
                    - (age * HS_CLOCK_DRIFT_PPM + HS_SEC - 1) / HS_SEC;
  slot->lent_stamp = credit.stamp_us;
  slot->lent_at = now;
  slot->was_lent = true;
  slot->is_lent = true;
  slot->was_granted = !is_loan;
  a->n_lent++;
  return credit;
}

bool
hs_agent_credits_reclaim_loans (HsAgentCredits *a, HsTime now)
{
  size_t n = a->n_lent > 0 ? talloc_array_length (a->slots) : 0;
  bool any = false;
  size_t i;

  for (i = 0; i < n; i++)
    {
      HsCreditSlot *slot = &a->slots[i];

      if (!slot->is_lent || now - slot->lent_at < HS_LOAN_RECLAIM_AFTER)
        continue;
      end_loan (a, slot);
      if (!slot->was_granted)
        continue;
      slot->next_generation = slot->lent_credit.generation;
      slot->was_lent = false;
      any |= store_idle (a, &slot->lent_credit, HS_CREDIT_GRANTED);
    }
  return any;
}

/* Whether a message that the agent has written after this list has arrived. All
 * stamps of a list are of the time at which it was written. */
static bool
is_overtaken (const HsAgentCredits *a, uint32_t n, const hsx_credit *credits)
{
  uint32_t i;

  for (i = 0; i < n; i++)
    if (credits[i].stamp_us >= a->written_stamp)
      return false;
  return n > 0;
}

static void
drop_granted (HsAgentCredits *a)
{
  uint32_t n_loans = 0;
  uint32_t i;

  for (i = 0; i < a->n_idle; i++)
    if (a->idle[i].is_loan)
      a->idle[n_loans++] = a->idle[i];
  a->n_idle = n_loans;
}

static void
reserve_slot (TALLOC_CTX *ctx, HsAgentCredits *a, uint32_t slot)
{
  size_t n = talloc_array_length (a->slots);
  size_t size = slot + SLOT_TABLE_STEP;

  if (slot < n)
    return;
  a->slots = talloc_realloc (ctx, a->slots, HsCreditSlot, size);
  a->idle = talloc_realloc (ctx, a->idle, HsIdleCredit, size);
  for (; n < size; n++)
    a->slots[n] = (HsCreditSlot){ .next_generation = 0 };
}

/* A credit of the generation used last is accepted again only if it was lent,
 * and if the borrower lends it back or the agent grants it again after the loan
 * has expired. The latter holds also if an empty list, whose age can't be told,
 * has ended the loan. */
static bool
is_used_up (const HsCreditSlot *slot,
            const hsx_credit *credit,
            HsCreditSource source)
{
  if (credit->generation >= slot->next_generation)
    return false;
  if (credit->generation + 1 < slot->next_generation || !slot->was_lent)
    return true;
  switch (source)
    {
    case HS_CREDIT_GRANTED:
      return credit->stamp_us
             < slot->lent_stamp + HS_LOAN_LIFETIME + PERMIT_MARGIN;
    case HS_CREDIT_BORROWED:
      return !slot->is_lent;
    case HS_CREDIT_RETURNED:
      break;
    }
  return true;
}

/* Stores an idle credit in place of an older one of the same slot. */
static bool
store_idle (HsAgentCredits *a, const hsx_credit *credit, HsCreditSource source)
{
  HsIdleCredit *held = find_idle (a, credit->slot);

  if (held != NULL && held->credit.generation > credit->generation)
    return false;
  if (held == NULL)
    held = &a->idle[a->n_idle++];
  held->credit = *credit;
  held->is_loan = source == HS_CREDIT_BORROWED;
  return true;
}

/* Ends the loans that the borrower has used: the agent no longer lists their
 * slots. */
static void
end_used_loans (HsAgentCredits *a, uint32_t n, const hsx_credit *credits)
{
  size_t n_slots = a->n_lent > 0 ? talloc_array_length (a->slots) : 0;
  size_t s;
  uint32_t i;

  for (s = 0; s < n_slots; s++)
    {
      if (!a->slots[s].is_lent)
        continue;
      for (i = 0; i < n && credits[i].slot != s; i++)
        continue;
      if (i == n)
        end_loan (a, &a->slots[s]);
    }
}

static void
end_loan (HsAgentCredits *a, HsCreditSlot *slot)
{
  slot->is_lent = false;
  a->n_lent--;
}

static hsx_credit
remove_newest (HsAgentCredits *a)
{
  hsx_credit credit = a->idle[--a->n_idle].credit;

  a->slots[credit.slot].next_generation = credit.generation + 1;
  a->slots[credit.slot].was_lent = false;
  return credit;
}

static HsIdleCredit *
find_idle (HsAgentCredits *a, uint32_t slot)
{
  uint32_t i;

  for (i = 0; i < a->n_idle; i++)
    if (a->idle[i].credit.slot == slot)
      return &a->idle[i];
  return NULL;
}

/* A stamp that has arrived is a lower bound of the agent's clock, so the
 * highest offset of a window is the best estimate. */
static void
update_clock_offset (HsAgentCredits *a, int64_t stamp, HsTime now)
{
  int64_t offset = stamp - now;

  if (a->clock_window_end == 0)
    a->previous_clock_offset = offset;
  if (a->clock_window_end == 0 || stamp > a->latest_stamp)
    {
      a->latest_stamp = stamp;
      a->stamp_received_at = now;
    }
  if (a->clock_window_end == 0 || now >= a->clock_window_end)
    {
      if (a->clock_window_end != 0)
        a->previous_clock_offset = a->clock_offset;
      a->clock_offset = offset;
      a->clock_window_end = now + CLOCK_OFFSET_WINDOW;
    }
  else if (offset > a->clock_offset)
    a->clock_offset = offset;
}

static int64_t
estimate_agent_clock (const HsAgentCredits *a, HsTime now)
{
  return now
         + (a->clock_offset > a->previous_clock_offset
                ? a->clock_offset
                : a->previous_clock_offset);
}
