#include "agent/slots.h"

#include <glib.h>

/** Mixes incarnations into the high bits. */
#define SPREAD_PRIME UINT64_C (0x9e3779b97f4a7c15)
#define SPREAD_BITS 8

typedef enum
{
  SLOT_FREE,
  SLOT_GRANTED,
  SLOT_BUSY
} SlotState;

typedef struct
{
  SlotState state;
  uint32_t generation;
  uint64_t holder;    /* Entry; meaningless while free. */
  HsTime first_stamp; /* Of this generation. */
  HsTime last_stamp;
} Slot;

typedef struct
{
  uint64_t incarnation;
  HsTime refresh; /* Age at which idle credits are refreshed. */
  HsTime notice;  /* When to tell that others used its credits. */
  uint32_t held;  /* Granted and busy slots. */
  uint32_t idle;  /* Granted slots. */
  bool due;       /* Its list changed or must be refreshed. */
} Entry;

struct HsSlots
{
  uint64_t agent;
  uint32_t count; /* Slots that may be granted. */
  uint32_t size;  /* Of the table; never shrinks. */
  uint32_t busy;
  Slot *table;
  Entry *entries;
  uint32_t n_entries;
};

static Entry *find_entry (const HsSlots *slots, uint64_t incarnation);
static Entry *poorest_entry (const HsSlots *slots);
static void grant (HsSlots *slots, uint32_t slot, Entry *entry, HsTime now);
static void withdraw (HsSlots *slots, uint32_t slot);
static void unhold (HsSlots *slots, const Slot *slot);
static void refresh_due (HsSlots *slots, HsTime now);
static HsTime refresh_at (const HsSlots *slots, const Entry *entry);
static HsTime oldest_stamp (const HsSlots *slots, const Entry *entry);
static void stamp_all (HsSlots *slots, const Entry *entry, HsTime now);
static bool is_granted_to (const Slot *slot, const Entry *entry);
static hsx_credit credit_of (const HsSlots *slots, uint32_t slot);

HsSlots *
hs_slots_new (TALLOC_CTX *ctx, uint64_t agent)
{
  HsSlots *slots = talloc_zero (ctx, HsSlots);

  slots->agent = agent;
  return slots;
}

void
hs_slots_resize (HsSlots *slots, uint32_t count)
{
  uint32_t i;

  count = MIN (count, HS_SLOTS_MAX);
  if (count > slots->size)
    {
      slots->table = talloc_realloc (slots, slots->table, Slot, count);
      for (i = slots->size; i < count; i++)
        slots->table[i] = (Slot){ .state = SLOT_FREE };
      slots->size = count;
    }
  for (i = count; i < slots->size; i++)
    if (slots->table[i].state == SLOT_GRANTED)
      withdraw (slots, i);
  slots->count = count;
}

void
hs_slots_entry_up (HsSlots *slots, uint64_t incarnation)
{
  uint32_t share;
  uint32_t i;

  if (find_entry (slots, incarnation) != NULL)
    return;
  slots->entries
      = talloc_realloc (slots, slots->entries, Entry, slots->n_entries + 1);
  slots->entries[slots->n_entries++]
      = (Entry){ .incarnation = incarnation,
                 .refresh = HS_SLOTS_FIRST_REFRESH,
                 .notice = HS_NEVER };
  share = (slots->count + slots->n_entries - 1) / slots->n_entries;
  for (i = 0; i < slots->count; i++)
    if (slots->table[i].state == SLOT_GRANTED
        && find_entry (slots, slots->table[i].holder)->held > share)
      withdraw (slots, i);
}

void
hs_slots_entry_down (HsSlots *slots, uint64_t incarnation)
{
  Entry *entry = find_entry (slots, incarnation);
  uint32_t i;

  if (entry == NULL)
    return;
  for (i = 0; i < slots->size; i++)
    if (is_granted_to (&slots->table[i], entry))
      withdraw (slots, i);
  *entry = slots->entries[--slots->n_entries];
}

bool
hs_slots_valid (const HsSlots *slots, const hsx_credit *credit)
{
  const Slot *slot;

  if (credit->agent != slots->agent || credit->slot >= slots->count)
    return false;
  slot = &slots->table[credit->slot];
  /* The stamp may be of a later message about another slot: an entry echoes
     the freshest that it had when it checked its lease. */
  return slot->state == SLOT_GRANTED && slot->generation == credit->generation
         && credit->stamp_us >= slot->first_stamp;
}

void
hs_slots_take (HsSlots *slots,
               const hsx_credit *credit,
               uint64_t incarnation,
               HsTime now)
{
  Slot *slot = &slots->table[credit->slot];
  Entry *entry = find_entry (slots, incarnation);
  Entry *lender = find_entry (slots, slot->holder);

  if (lender != NULL && lender != entry && lender->notice == HS_NEVER)
    lender->notice = now + HS_SLOTS_LOAN_NOTICE;
  unhold (slots, slot);
  slot->state = SLOT_BUSY;
  slot->holder = incarnation;
  slots->busy++;
  if (entry != NULL)
    entry->held++;
}

bool
hs_slots_release (HsSlots *slots,
                  uint32_t number,
                  uint64_t entry,
                  HsTime now,
                  hsx_credit *next)
{
  Slot *slot = &slots->table[number];

  unhold (slots, slot);
  slot->state = SLOT_FREE;
  slots->busy--;
  return hs_slots_regrant (slots, number, entry, now, next);
}

bool
hs_slots_regrant (HsSlots *slots,
                  uint32_t number,
                  uint64_t incarnation,
                  HsTime now,
                  hsx_credit *next)
{
  Entry *entry = find_entry (slots, incarnation);

  if (entry == NULL || number >= slots->count
      || slots->table[number].state == SLOT_BUSY)
    return false;
  unhold (slots, &slots->table[number]);
  grant (slots, number, entry, now);
  *next = credit_of (slots, number);
  return true;
}

void
hs_slots_plan (HsSlots *slots, HsTime now)
{
  uint32_t i;

  for (i = 0; i < slots->count && slots->n_entries > 0; i++)
    if (slots->table[i].state == SLOT_FREE)
      {
        Entry *entry = poorest_entry (slots);

        grant (slots, i, entry, now);
        entry->due = true;
      }
  refresh_due (slots, now);
}

uint64_t
hs_slots_next_grant (HsSlots *slots, hsx_credit *credits, uint32_t *n_credits)
{
  uint32_t i;
  uint32_t s;

  for (i = 0; i < slots->n_entries; i++)
    {
      Entry *entry = &slots->entries[i];

      if (!entry->due)
        continue;
      entry->due = false;
      *n_credits = 0;
      for (s = 0; s < slots->count; s++)
        if (is_granted_to (&slots->table[s], entry))
          credits[(*n_credits)++] = credit_of (slots, s);
      return entry->incarnation;
    }
  return 0;
}

uint32_t
hs_slots_busy (const HsSlots *slots)
{
  return slots->busy;
}

static Entry *
find_entry (const HsSlots *slots, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < slots->n_entries; i++)
    if (slots->entries[i].incarnation == incarnation)
      return &slots->entries[i];
  return NULL;
}

static Entry *
poorest_entry (const HsSlots *slots)
{
  Entry *poorest = &slots->entries[0];
  uint32_t i;

  for (i = 1; i < slots->n_entries; i++)
    if (slots->entries[i].held < poorest->held)
      poorest = &slots->entries[i];
  return poorest;
}

static void
grant (HsSlots *slots, uint32_t number, Entry *entry, HsTime now)
{
  Slot *slot = &slots->table[number];

  slot->state = SLOT_GRANTED;
  slot->generation++;
  slot->holder = entry->incarnation;
  slot->first_stamp = now;
  slot->last_stamp = now;
  entry->held++;
  entry->idle++;
}

static void
withdraw (HsSlots *slots, uint32_t number)
{
  Slot *slot = &slots->table[number];
  Entry *entry = find_entry (slots, slot->holder);

  if (entry != NULL)
    entry->due = true;
  unhold (slots, slot);
  slot->state = SLOT_FREE;
  slot->generation++;
}

/* Takes a slot off its holder's counts. */
static void
unhold (HsSlots *slots, const Slot *slot)
{
  Entry *entry = find_entry (slots, slot->holder);

  if (entry == NULL || slot->state == SLOT_FREE)
    return;
  entry->held--;
  if (slot->state == SLOT_GRANTED)
    entry->idle--;
}

static void
refresh_due (HsSlots *slots, HsTime now)
{
  uint32_t i;

  for (i = 0; i < slots->n_entries; i++)
    {
      Entry *entry = &slots->entries[i];
      if (entry->due)
        entry->refresh = HS_SLOTS_FIRST_REFRESH;
      else if (entry->idle > 0 && now >= refresh_at (slots, entry))
        {
          entry->due = true;
          entry->refresh = MIN (2 * entry->refresh, HS_SLOTS_LAST_REFRESH);
        }
      else if (now >= entry->notice)
        entry->due = true;
      if (!entry->due)
        continue;
      entry->notice = HS_NEVER;
      stamp_all (slots, entry, now);
    }
}

static HsTime
refresh_at (const HsSlots *slots, const Entry *entry)
{
  uint64_t mixed = (slots->agent ^ entry->incarnation) * SPREAD_PRIME;
  HsTime spread = (HsTime) (mixed >> (64 - SPREAD_BITS));

  return oldest_stamp (slots, entry) + entry->refresh
         - ((entry->refresh / 4 * spread) >> SPREAD_BITS);
}

static HsTime
oldest_stamp (const HsSlots *slots, const Entry *entry)
{
  HsTime oldest = HS_NEVER;
  uint32_t i;

  for (i = 0; i < slots->count; i++)
    if (is_granted_to (&slots->table[i], entry))
      oldest = MIN (oldest, slots->table[i].last_stamp);
  return oldest;
}

static void
stamp_all (HsSlots *slots, const Entry *entry, HsTime now)
{
  uint32_t i;

  for (i = 0; i < slots->count; i++)
    if (is_granted_to (&slots->table[i], entry))
      slots->table[i].last_stamp = now;
}

static bool
is_granted_to (const Slot *slot, const Entry *entry)
{
  return slot->state == SLOT_GRANTED && slot->holder == entry->incarnation;
}

static hsx_credit
credit_of (const HsSlots *slots, uint32_t number)
{
  const Slot *slot = &slots->table[number];

  return (hsx_credit){ .agent = slots->agent,
                       .slot = number,
                       .generation = slot->generation,
                       .stamp_us = slot->last_stamp };
}
