/**
 * @file
 * The operators' two lists: plans (one record a customer: which plan it is
 * on and the hash of its key) and allowances (one record a plan: what it may
 * use). Records carry the store revision at which they were written.
 */
#ifndef HS_LISTS_LISTS_H
#define HS_LISTS_LISTS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#define HS_NAME_MAX 64
#define HS_KEY_HASH_LEN 64

/** A customer's record in the list of plans. */
typedef struct
{
  char customer[HS_NAME_MAX + 1];
  char plan[HS_NAME_MAX + 1];
  char key_hash[HS_KEY_HASH_LEN + 1]; /**< SHA-256 in hex; "": none yet. */
  int64_t revision;
} HsPlan;

/** A plan's record in the list of allowances. Zero limits mean none left. */
typedef struct
{
  char plan[HS_NAME_MAX + 1];
  uint32_t in_flight;     /**< Tasks started and not finished. */
  uint32_t starts_per_s;  /**< Mean rate of starts. */
  uint32_t burst;         /**< Starts at once on top of the rate. */
  uint32_t queued;        /**< Tasks that may wait. */
  uint32_t tasks_per_job; /**< 1 to 390. */
  uint32_t memory_mb;     /**< The most one task may need. */
  uint32_t accelerators;  /**< The most one task may need. */
  uint32_t weight;        /**< Share under contention, 1 to 1000. */
  int64_t revision;
} HsAllowance;

/** Which list a record belongs to; names the store prefix. */
typedef enum
{
  HS_LIST_PLANS,
  HS_LIST_ALLOWANCES
} HsListKind;

/** An immutable view of both lists, published by read-copy-update. */
typedef struct HsLists HsLists;

/** An empty view at revision 0. */
HsLists *hs_lists_new (TALLOC_CTX *ctx);

/** A deep copy, to be changed and then published. */
HsLists *hs_lists_copy (TALLOC_CTX *ctx, const HsLists *lists);

/** The highest store revision applied. */
int64_t hs_lists_revision (const HsLists *lists);

/**
 * Notes that the view is current up to @p revision even though no record of
 * it changed. Never steps back.
 */
void hs_lists_advance_revision (HsLists *lists, int64_t revision);

/**
 * Applies one record as the store holds it; @p json NULL deletes.
 * Older revisions than the one held (or than the deletion) are ignored.
 * Errors: HS_ERROR_INVALID, also for a name that is not hs_name_valid().
 * @param revision the record's mod_revision
 * @return true if the view changed; false with @p error unset if it was old
 */
bool hs_lists_apply (HsLists *lists,
                     HsListKind kind,
                     const char *name,
                     const char *json,
                     int64_t revision,
                     GError **error);

/** Looks up a record; NULL if absent. Owned by @p lists. */
const HsPlan *hs_lists_plan (const HsLists *lists, const char *customer);
const HsAllowance *hs_lists_allowance (const HsLists *lists, const char *plan);

/** The allowance of a customer's plan; NULL if either is absent. */
const HsAllowance *hs_lists_customer_allowance (const HsLists *lists,
                                                const char *customer);

/** All records, sorted by name; *n is their count. Owned by @p lists. */
const HsPlan *const *hs_lists_plans (const HsLists *lists, size_t *n);
const HsAllowance *const *hs_lists_allowances (const HsLists *lists, size_t *n);

/** True if @p key is the customer's key (constant-time comparison). */
bool hs_plan_key_matches (const HsPlan *plan, const char *key);

/** True if @p key has this hash (constant-time comparison). */
bool hs_key_matches_hash (const char *key,
                          const char hash[HS_KEY_HASH_LEN + 1]);

/** SHA-256 of a key in hex, into @p hash. */
void hs_key_hash (const char *key, char hash[HS_KEY_HASH_LEN + 1]);

/**
 * Parses and checks one record. Unknown keys, wrong types and values out of
 * range are errors that name the key and the remedy (HS_ERROR_INVALID).
 * The plan record may give "key" (hashed here) or "key_hash".
 */
bool hs_plan_parse (const char *json,
                    const char *customer,
                    HsPlan *plan,
                    GError **error);
bool hs_allowance_parse (const char *json,
                         const char *plan,
                         HsAllowance *allowance,
                         GError **error);

/** One line of JSON, as stored (with the hash, never the key). */
char *hs_plan_to_json (TALLOC_CTX *ctx, const HsPlan *plan);
char *hs_allowance_to_json (TALLOC_CTX *ctx, const HsAllowance *allowance);

/** True for 1 to 64 characters of [a-zA-Z0-9._-], not starting with '.'. */
bool hs_name_valid (const char *name);

/** "hs/plan/" or "hs/allowance/". */
const char *hs_list_prefix (HsListKind kind);

#endif
