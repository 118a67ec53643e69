#include "entry/members.h"

#include <string.h>

#include <glib.h>

typedef struct
{
  hsx_member member; /* Its strings are talloc children of the record. */
  HsTime changed;
} Record;

struct HsMembers
{
  Record **records;
  uint32_t n;
};

static Record *find (const HsMembers *members, uint64_t incarnation);
static Record *add (HsMembers *members, const hsx_member *member);
static void copy_member (Record *record, const hsx_member *member);
static bool is_gone (const Record *record);

HsMembers *
hs_members_new (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, HsMembers);
}

const hsx_member *
hs_members_merge (HsMembers *members, const hsx_member *member, HsTime now)
{
  Record *record = find (members, member->incarnation);

  if (record == NULL)
    record = add (members, member);
  else if (record->member.state == HSX_MEMBER_LEFT
           || (record->member.state == HSX_MEMBER_LOST
               && member->revision <= record->member.revision)
           || (member->state < HSX_MEMBER_LEFT
               && member->revision < record->member.revision)
           || (member->revision == record->member.revision
               && member->state <= record->member.state))
    return NULL;
  copy_member (record, member);
  record->changed = now;
  return &record->member;
}

const hsx_member *
hs_members_find (const HsMembers *members, uint64_t incarnation)
{
  const Record *record = find (members, incarnation);

  return record != NULL ? &record->member : NULL;
}

const hsx_member *
hs_members_lost (HsMembers *members, uint64_t incarnation, HsTime now)
{
  Record *record = find (members, incarnation);

  if (record == NULL || is_gone (record))
    return NULL;
  record->member.state = HSX_MEMBER_LOST;
  record->changed = now;
  return &record->member;
}

void
hs_members_all (const HsMembers *members,
                TALLOC_CTX *ctx,
                hsx_members_args *args)
{
  uint32_t i;

  args->members.members_len = members->n;
  args->members.members_val = talloc_array (ctx, hsx_member, members->n);
  for (i = 0; i < members->n; i++)
    args->members.members_val[i] = members->records[i]->member;
}

void
hs_members_sweep (HsMembers *members, HsTime keep, HsTime now)
{
  uint32_t i = 0;

  while (i < members->n)
    {
      Record *record = members->records[i];

      if (!is_gone (record) || now - record->changed < keep)
        {
          i++;
          continue;
        }
      talloc_free (record);
      members->records[i] = members->records[--members->n];
    }
}

uint32_t
hs_members_count (const HsMembers *members)
{
  return members->n;
}

const hsx_member *
hs_members_at (const HsMembers *members, uint32_t i)
{
  return &members->records[i]->member;
}

static Record *
find (const HsMembers *members, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < members->n; i++)
    if (members->records[i]->member.incarnation == incarnation)
      return members->records[i];
  return NULL;
}

static Record *
add (HsMembers *members, const hsx_member *member)
{
  Record *record;

  members->records
      = talloc_realloc (members, members->records, Record *, members->n + 1);
  record = talloc_zero (members, Record);
  record->member.incarnation = member->incarnation;
  members->records[members->n++] = record;
  return record;
}

static void
copy_member (Record *record, const hsx_member *member)
{
  hsx_member old = record->member;

  record->member = *member;
  record->member.address = talloc_strdup (record, member->address);
  record->member.data_centre = talloc_strdup (record, member->data_centre);
  record->member.rack = talloc_strdup (record, member->rack);
  talloc_free (old.address);
  talloc_free (old.data_centre);
  talloc_free (old.rack);
}

static bool
is_gone (const Record *record)
{
  return record->member.state == HSX_MEMBER_LEFT
         || record->member.state == HSX_MEMBER_LOST;
}
