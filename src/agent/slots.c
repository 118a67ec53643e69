#include "agent/slots.h"

#include <glib.h>

/** Odd multiplier that mixes two incarnations into the high bits. */
#define JITTER_HASH_MULTIPLIER UINT64_C (0x9e3779b97f4a7c15)
#define JITTER_BITS 8

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
  uint64_t holder;    /* Incarnation of an entry; unused while free. */
  HsTime first_stamp; /* First stamp of this generation. */
  HsTime last_stamp;
} Slot;

typedef struct
{
  uint64_t incarnation;
  HsTime refresh_age;    /* Age of the stamps at next refresh. */
  HsTime loan_notice_at; /* When to report the use of lent credits. */
  uint32_t n_held;       /* Slots granted to it or busy with its starts. */
  uint32_t n_idle;       /* Slots granted to it and unused. */
  bool grant_due;        /* Its list of credits must be sent. */
} Entry;

struct HsSlots
{
  uint64_t agent;
  uint32_t count;      /* Slots that may be granted. */
  uint32_t table_size; /* Never shrinks, as slots may be busy. */
  uint32_t n_busy;
  Slot *table;
  Entry *entries;
  uint32_t n_entries;
};

static Entry *find_entry (const HsSlots *slots, uint64_t incarnation);
static Entry *least_loaded_entry (const HsSlots *slots);
static void
grant (HsSlots *slots, uint32_t slot_index, Entry *entry, HsTime now);
static void withdraw (HsSlots *slots, uint32_t slot_index);
static void remove_from_holder (HsSlots *slots, const Slot *slot);
static void mark_due_entries (HsSlots *slots, HsTime now);
static HsTime refresh_due_at (const HsSlots *slots, const Entry *entry);
static HsTime oldest_stamp (const HsSlots *slots, const Entry *entry);
static void restamp_granted (HsSlots *slots, const Entry *entry, HsTime now);
static bool is_granted_to (const Slot *slot, const Entry *entry);
static hsx_credit make_credit (const HsSlots *slots, uint32_t slot_index);

HsSlots *
hs_slots_new (TALLOC_CTX *ctx, uint64_t agent)
{
  HsSlots *slots = talloc_zero (ctx, HsSlots);

  slots->agent = agent;
  return slots;
}

void
hs_slots_set_count (HsSlots *slots, uint32_t count)
{
  uint32_t i;

  count = MIN (count, HS_SLOTS_MAX);
  if (count > slots->table_size)
    {
      slots->table = talloc_realloc (slots, slots->table, Slot, count);
      for (i = slots->table_size; i < count; i++)
        slots->table[i] = (Slot){ .state = SLOT_FREE };
      slots->table_size = count;
    }
  for (i = count; i < slots->table_size; i++)
    if (slots->table[i].state == SLOT_GRANTED)
      withdraw (slots, i);
  slots->count = count;
}

void
hs_slots_add_entry (HsSlots *slots, uint64_t incarnation)
{
  uint32_t equal_share;
  uint32_t i;

  if (find_entry (slots, incarnation) != NULL)
    return;
  slots->entries
      = talloc_realloc (slots, slots->entries, Entry, slots->n_entries + 1);
  slots->entries[slots->n_entries++]
      = (Entry){ .incarnation = incarnation,
                 .refresh_age = HS_SLOTS_REFRESH_AGE_MIN,
                 .loan_notice_at = HS_NEVER };
  equal_share = (slots->count + slots->n_entries - 1) / slots->n_entries;
  for (i = 0; i < slots->count; i++)
    if (slots->table[i].state == SLOT_GRANTED
        && find_entry (slots, slots->table[i].holder)->n_held > equal_share)
      withdraw (slots, i);
}

void
hs_slots_remove_entry (HsSlots *slots, uint64_t incarnation)
{
  Entry *entry = find_entry (slots, incarnation);
  uint32_t i;

  if (entry == NULL)
    return;
  for (i = 0; i < slots->table_size; i++)
    if (is_granted_to (&slots->table[i], entry))
      withdraw (slots, i);
  *entry = slots->entries[--slots->n_entries];
}

bool
hs_slots_credit_is_valid (const HsSlots *slots, const hsx_credit *credit)
{
  const Slot *slot;

  if (credit->agent != slots->agent || credit->slot >= slots->count)
    return false;
  slot = &slots->table[credit->slot];
  /* The stamp may come from a later message about another slot: an entry
     sends the latest stamp that it had when it checked its lease. */
  return slot->state == SLOT_GRANTED && slot->generation == credit->generation
         && credit->stamp_us >= slot->first_stamp;
}

void
hs_slots_occupy (HsSlots *slots,
                 const hsx_credit *credit,
                 uint64_t incarnation,
                 HsTime now)
{
  Slot *slot = &slots->table[credit->slot];
  Entry *entry = find_entry (slots, incarnation);
  Entry *lender = find_entry (slots, slot->holder);

  if (lender != NULL && lender != entry && lender->loan_notice_at == HS_NEVER)
    lender->loan_notice_at = now + HS_SLOTS_LOAN_NOTICE_DELAY;
  remove_from_holder (slots, slot);
  slot->state = SLOT_BUSY;
  slot->holder = incarnation;
  slots->n_busy++;
  if (entry != NULL)
    entry->n_held++;
}

bool
hs_slots_release (HsSlots *slots,
                  uint32_t slot_index,
                  uint64_t entry,
                  HsTime now,
                  hsx_credit *next)
{
  Slot *slot = &slots->table[slot_index];

  remove_from_holder (slots, slot);
  slot->state = SLOT_FREE;
  slots->n_busy--;
  return hs_slots_regrant (slots, slot_index, entry, now, next);
}

bool
hs_slots_regrant (HsSlots *slots,
                  uint32_t slot_index,
                  uint64_t incarnation,
                  HsTime now,
                  hsx_credit *next)
{
  Entry *entry = find_entry (slots, incarnation);

  if (entry == NULL || slot_index >= slots->count
      || slots->table[slot_index].state == SLOT_BUSY)
    return false;
  remove_from_holder (slots, &slots->table[slot_index]);
  grant (slots, slot_index, entry, now);
  *next = make_credit (slots, slot_index);
  return true;
}

void
hs_slots_distribute (HsSlots *slots, HsTime now)
{
  uint32_t i;

  for (i = 0; i < slots->count && slots->n_entries > 0; i++)
    if (slots->table[i].state == SLOT_FREE)
      {
        Entry *entry = least_loaded_entry (slots);

        grant (slots, i, entry, now);
        entry->grant_due = true;
      }
  mark_due_entries (slots, now);
}

uint64_t
hs_slots_next_grant (HsSlots *slots, hsx_credit *credits, uint32_t *n_credits)
{
  uint32_t i;
  uint32_t s;

  for (i = 0; i < slots->n_entries; i++)
    {
      Entry *entry = &slots->entries[i];

      if (!entry->grant_due)
        continue;
      entry->grant_due = false;
      *n_credits = 0;
      for (s = 0; s < slots->count; s++)
        if (is_granted_to (&slots->table[s], entry))
          credits[(*n_credits)++] = make_credit (slots, s);
      return entry->incarnation;
    }
  return 0;
}

uint32_t
hs_slots_n_busy (const HsSlots *slots)
{
  return slots->n_busy;
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
least_loaded_entry (const HsSlots *slots)
{
  Entry *least_loaded = &slots->entries[0];
  uint32_t i;

  for (i = 1; i < slots->n_entries; i++)
    if (slots->entries[i].n_held < least_loaded->n_held)
      least_loaded = &slots->entries[i];
  return least_loaded;
}

static void
grant (HsSlots *slots, uint32_t slot_index, Entry *entry, HsTime now)
{
  Slot *slot = &slots->table[slot_index];

  slot->state = SLOT_GRANTED;
  slot->generation++;
  slot->holder = entry->incarnation;
  slot->first_stamp = now;
  slot->last_stamp = now;
  entry->n_held++;
  entry->n_idle++;
}

static void
withdraw (HsSlots *slots, uint32_t slot_index)
{
  Slot *slot = &slots->table[slot_index];
  Entry *entry = find_entry (slots, slot->holder);

  if (entry != NULL)
    entry->grant_due = true;
  remove_from_holder (slots, slot);
  slot->state = SLOT_FREE;
  slot->generation++;
}

/* Subtracts a slot from the counts of its holder. */
static void
remove_from_holder (HsSlots *slots, const Slot *slot)
{
  Entry *entry = find_entry (slots, slot->holder);

  if (entry == NULL || slot->state == SLOT_FREE)
    return;
  entry->n_held--;
  if (slot->state == SLOT_GRANTED)
    entry->n_idle--;
}

static void
mark_due_entries (HsSlots *slots, HsTime now)
{
  uint32_t i;

  for (i = 0; i < slots->n_entries; i++)
    {
      Entry *entry = &slots->entries[i];
      if (entry->grant_due)
        entry->refresh_age = HS_SLOTS_REFRESH_AGE_MIN;
      else if (entry->n_idle > 0 && now >= refresh_due_at (slots, entry))
        {
          entry->grant_due = true;
          entry->refresh_age
              = MIN (2 * entry->refresh_age, HS_SLOTS_REFRESH_AGE_MAX);
        }
      else if (now >= entry->loan_notice_at)
        entry->grant_due = true;
      if (!entry->grant_due)
        continue;
      entry->loan_notice_at = HS_NEVER;
      restamp_granted (slots, entry, now);
    }
}

static HsTime
refresh_due_at (const HsSlots *slots, const Entry *entry)
{
  uint64_t hash = (slots->agent ^ entry->incarnation) * JITTER_HASH_MULTIPLIER;
  HsTime jitter = (HsTime) (hash >> (64 - JITTER_BITS));

  return oldest_stamp (slots, entry) + entry->refresh_age
         - ((entry->refresh_age / 4 * jitter) >> JITTER_BITS);
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
restamp_granted (HsSlots *slots, const Entry *entry, HsTime now)
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
make_credit (const HsSlots *slots, uint32_t slot_index)
{
  const Slot *slot = &slots->table[slot_index];

  return (hsx_credit){ .agent = slots->agent,
                       .slot = slot_index,
                       .generation = slot->generation,
                       .stamp_us = slot->last_stamp };
}
