#include "entry/ownership.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#define ENTRY_PREFIX "hs/entry/"
#define PART_PREFIX "hs/part/"

/** Deepest accepted nesting of a record. */
#define DEPTH_MAX 4

struct HsOwnership
{
  uint64_t self;
  uint32_t n_parts;
  HsPartRecord *parts;
  HsEntryRecord *entries;
  uint32_t n_entries;
};

static HsEntryRecord *find_entry (const HsOwnership *view,
                                  uint64_t incarnation);
static void remove_entry (HsOwnership *view, HsEntryRecord *entry);
static uint64_t rendezvous_weight (uint64_t incarnation, uint32_t part);
static struct json_object *parse_record (const char *text);
static uint64_t json_u64 (struct json_object *json, const char *key);
static void
json_string (struct json_object *json, const char *key, char *out, size_t size);

HsOwnership *
hs_ownership_new (TALLOC_CTX *ctx, uint64_t self, uint32_t partitions)
{
  HsOwnership *view = talloc_zero (ctx, HsOwnership);

  view->self = self;
  view->n_parts = partitions;
  view->parts = talloc_zero_array (view, HsPartRecord, partitions);
  return view;
}

void
hs_ownership_apply_entry (HsOwnership *view,
                          uint64_t incarnation,
                          const char *json,
                          int64_t revision)
{
  HsEntryRecord *entry = find_entry (view, incarnation);
  struct json_object *object;

  if (entry != NULL && revision < entry->revision)
    return;
  if (json == NULL)
    {
      if (entry != NULL)
        remove_entry (view, entry);
      return;
    }
  object = parse_record (json);
  if (object == NULL)
    return;
  if (entry == NULL)
    {
      view->entries = talloc_realloc (view, view->entries, HsEntryRecord,
                                      view->n_entries + 1);
      entry = &view->entries[view->n_entries++];
      memset (entry, 0, sizeof *entry);
    }
  entry->incarnation = incarnation;
  entry->revision = revision;
  entry->leaving
      = json_object_get_boolean (json_object_object_get (object, "leaving"));
  json_string (object, "address", entry->address, sizeof entry->address);
  json_string (object, "data_centre", entry->data_centre,
               sizeof entry->data_centre);
  json_object_put (object);
}

bool
hs_ownership_apply_part (HsOwnership *view,
                         uint32_t part,
                         const char *json,
                         int64_t revision,
                         int64_t create_revision)
{
  HsPartRecord *record;
  struct json_object *object;

  if (part >= view->n_parts)
    return false;
  record = &view->parts[part];
  if (revision <= record->revision)
    return false;
  object = json != NULL ? parse_record (json) : NULL;
  record->previous_revision = record->revision;
  /* This isn't the first record: an unknown earlier one must not be taken for
     none. */
  if (record->previous_revision == 0 && create_revision != revision)
    record->previous_revision = create_revision;
  record->revision = revision;
  /* A record of another writer doesn't end an ownership. */
  if (json != NULL && object == NULL)
    return true;
  record->owner = object != NULL ? json_u64 (object, "owner") : 0;
  record->handed_from
      = json_object_get_int64 (json_object_object_get (object, "handed_from"));
  json_string (object, "address", record->address, sizeof record->address);
  json_object_put (object);
  return true;
}

void
hs_ownership_retain_entries (HsOwnership *view,
                             const uint64_t *incarnations,
                             size_t n,
                             int64_t revision)
{
  uint32_t i = 0;
  size_t j;

  while (i < view->n_entries)
    {
      HsEntryRecord *entry = &view->entries[i];

      for (j = 0; j < n && incarnations[j] != entry->incarnation; j++)
        continue;
      if (j == n && entry->revision <= revision)
        remove_entry (view, entry);
      else
        i++;
    }
}

const HsPartRecord *
hs_ownership_part_record (const HsOwnership *view, uint32_t part)
{
  return &view->parts[part];
}

const HsEntryRecord *
hs_ownership_find_entry (const HsOwnership *view, uint64_t incarnation)
{
  return find_entry (view, incarnation);
}

uint32_t
hs_ownership_entry_count (const HsOwnership *view)
{
  return view->n_entries;
}

const HsEntryRecord *
hs_ownership_entry_at (const HsOwnership *view, uint32_t i)
{
  return &view->entries[i];
}

HsPartAction
hs_ownership_decide (const HsOwnership *view,
                     uint32_t part,
                     uint64_t *new_owner)
{
  const HsPartRecord *record = &view->parts[part];
  uint64_t highest_weight = 0;
  uint64_t chosen = 0;
  uint32_t i;

  for (i = 0; i < view->n_entries; i++)
    {
      const HsEntryRecord *entry = &view->entries[i];
      uint64_t weight = rendezvous_weight (entry->incarnation, part);

      if (entry->leaving || (chosen != 0 && weight <= highest_weight))
        continue;
      highest_weight = weight;
      chosen = entry->incarnation;
    }
  if (chosen == 0)
    return HS_PART_NO_ACTION;
  if (record->owner == 0 || find_entry (view, record->owner) == NULL)
    return chosen == view->self ? HS_PART_TAKE_OVER : HS_PART_NO_ACTION;
  if (record->owner != view->self || chosen == view->self)
    return HS_PART_NO_ACTION;
  *new_owner = chosen;
  return HS_PART_HAND_OVER;
}

char *
hs_ownership_entry_json (TALLOC_CTX *ctx, const HsEntryRecord *entry)
{
  struct json_object *object = json_object_new_object ();
  char *text;

  json_object_object_add (object, "address",
                          json_object_new_string (entry->address));
  json_object_object_add (object, "data_centre",
                          json_object_new_string (entry->data_centre));
  json_object_object_add (object, "leaving",
                          json_object_new_boolean (entry->leaving));
  text = talloc_strdup (
      ctx, json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

char *
hs_ownership_part_json (TALLOC_CTX *ctx,
                        uint64_t owner,
                        const char *address,
                        int64_t handed_from)
{
  return talloc_asprintf (ctx,
                          "{\"owner\":\"%016" PRIx64
                          "\",\"address\":\"%s\",\"handed_from\":%" PRId64 "}",
                          owner, address, handed_from);
}

char *
hs_ownership_entry_key (TALLOC_CTX *ctx, uint64_t incarnation)
{
  return talloc_asprintf (ctx, ENTRY_PREFIX "%016" PRIx64, incarnation);
}

char *
hs_ownership_part_key (TALLOC_CTX *ctx, uint32_t part)
{
  return talloc_asprintf (ctx, PART_PREFIX "%u", part);
}

bool
hs_ownership_parse_entry_key (const char *key, uint64_t *incarnation)
{
  char *end;

  if (!g_str_has_prefix (key, ENTRY_PREFIX))
    return false;
  *incarnation = strtoull (key + strlen (ENTRY_PREFIX), &end, 16);
  return *end == '\0' && *incarnation != 0;
}

bool
hs_ownership_parse_part_key (const char *key, uint32_t *part)
{
  char *end;

  if (!g_str_has_prefix (key, PART_PREFIX))
    return false;
  *part = (uint32_t) strtoul (key + strlen (PART_PREFIX), &end, 10);
  return *end == '\0' && end != key + strlen (PART_PREFIX);
}

static HsEntryRecord *
find_entry (const HsOwnership *view, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < view->n_entries; i++)
    if (view->entries[i].incarnation == incarnation)
      return &view->entries[i];
  return NULL;
}

static void
remove_entry (HsOwnership *view, HsEntryRecord *entry)
{
  *entry = view->entries[--view->n_entries];
}

/* Mixes both numbers by the finalizer of splitmix64. */
static uint64_t
rendezvous_weight (uint64_t incarnation, uint32_t part)
{
  uint64_t z = incarnation + (part + 1) * UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

/* NULL if the text isn't a JSON object. */
static struct json_object *
parse_record (const char *text)
{
  struct json_tokener *tokener = json_tokener_new_ex (DEPTH_MAX);
  struct json_object *object
      = json_tokener_parse_ex (tokener, text, (int) strlen (text) + 1);

  json_tokener_free (tokener);
  if (json_object_is_type (object, json_type_object))
    return object;
  json_object_put (object);
  return NULL;
}

static uint64_t
json_u64 (struct json_object *json, const char *key)
{
  const char *text
      = json_object_get_string (json_object_object_get (json, key));

  return text != NULL ? strtoull (text, NULL, 16) : 0;
}

static void
json_string (struct json_object *json, const char *key, char *out, size_t size)
{
  const char *text
      = json_object_get_string (json_object_object_get (json, key));

  g_strlcpy (out, text != NULL ? text : "", size);
}
