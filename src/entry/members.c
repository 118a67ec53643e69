#include "entry/members.h"

#include <string.h>

#include <glib.h>

typedef struct
{
  hsx_member member; /* Its strings are talloc children of the record. */
  HsTime changed_at;
} Record;

struct HsMembers
{
  Record **records;
  uint32_t n_records;
};

static Record *find_record (const HsMembers *members, uint64_t incarnation);
static Record *add_record (HsMembers *members, const hsx_member *member);
static void copy_member (Record *record, const hsx_member *member);
static bool has_departed (const Record *record);

HsMembers *
hs_members_new (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, HsMembers);
}

const hsx_member *
hs_members_merge (HsMembers *members, const hsx_member *member, HsTime now)
{
  Record *record = find_record (members, member->incarnation);

  if (record == NULL)
    record = add_record (members, member);
  else if (record->member.state == HSX_MEMBER_LEFT
           || (record->member.state == HSX_MEMBER_LOST
               && member->revision <= record->member.revision)
           || (member->state < HSX_MEMBER_LEFT
               && member->revision < record->member.revision)
           || (member->revision == record->member.revision
               && member->state <= record->member.state))
    return NULL;
  copy_member (record, member);
  record->changed_at = now;
  return &record->member;
}

const hsx_member *
hs_members_find (const HsMembers *members, uint64_t incarnation)
{
  const Record *record = find_record (members, incarnation);

  return record != NULL ? &record->member : NULL;
}

const hsx_member *
hs_members_set_lost (HsMembers *members, uint64_t incarnation, HsTime now)
{
  Record *record = find_record (members, incarnation);

  if (record == NULL || has_departed (record))
    return NULL;
  record->member.state = HSX_MEMBER_LOST;
  record->changed_at = now;
  return &record->member;
}

void
hs_members_list (const HsMembers *members,
                 TALLOC_CTX *ctx,
                 hsx_members_args *args)
{
  uint32_t i;

  args->members.members_len = members->n_records;
  args->members.members_val
      = talloc_array (ctx, hsx_member, members->n_records);
  for (i = 0; i < members->n_records; i++)
    args->members.members_val[i] = members->records[i]->member;
}

void
hs_members_expire (HsMembers *members, HsTime retention, HsTime now)
{
  uint32_t i = 0;

  while (i < members->n_records)
    {
      Record *record = members->records[i];

      if (!has_departed (record) || now - record->changed_at < retention)
        {
          i++;
          continue;
        }
      talloc_free (record);
      members->records[i] = members->records[--members->n_records];
    }
}

uint32_t
hs_members_count (const HsMembers *members)
{
  return members->n_records;
}

const hsx_member *
hs_members_at (const HsMembers *members, uint32_t i)
{
  return &members->records[i]->member;
}

static Record *
find_record (const HsMembers *members, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < members->n_records; i++)
    if (members->records[i]->member.incarnation == incarnation)
      return members->records[i];
  return NULL;
}

static Record *
add_record (HsMembers *members, const hsx_member *member)
{
  Record *record;

  members->records = talloc_realloc (members, members->records, Record *,
                                     members->n_records + 1);
  record = talloc_zero (members, Record);
  record->member.incarnation = member->incarnation;
  members->records[members->n_records++] = record;
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
has_departed (const Record *record)
{
  return record->member.state == HSX_MEMBER_LEFT
         || record->member.state == HSX_MEMBER_LOST;
}
