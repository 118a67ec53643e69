/**
 * @file
 * The two lists that operators maintain. The list of plans has a record for
 * each customer, with its plan and the hash of its key; the list of allowances
 * has a record for each plan, with its limits. Records carry the store revision
 * at which they were written.
 */
#ifndef HS_LISTS_LISTS_H
#define HS_LISTS_LISTS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

/** Maximum length of a record's name. */
#define HS_NAME_MAX 64
/** Length of a key's hash: SHA-256 in hex. */
#define HS_KEY_HASH_LEN 64

/** A customer's record in the list of plans. */
typedef struct
{
  char customer[HS_NAME_MAX + 1];
  char plan[HS_NAME_MAX + 1];
  char key_hash[HS_KEY_HASH_LEN + 1]; /**< "": no key. */
  int64_t revision;
} HsPlan;

/** A plan's record in the list of allowances. A limit of 0 allows nothing. */
typedef struct
{
  char plan[HS_NAME_MAX + 1];
  uint32_t in_flight;     /**< Maximum number of running tasks. */
  uint32_t starts_per_s;  /**< Average rate of task starts. */
  uint32_t burst;         /**< Starts allowed at once above the rate. */
  uint32_t queued;        /**< Maximum number of waiting tasks. */
  uint32_t tasks_per_job; /**< 1 to 390. */
  uint32_t memory_mb;     /**< Maximum for one task. */
  uint32_t accelerators;  /**< Maximum for one task. */
  uint32_t weight;        /**< Relative weight of each customer of the plan when
                               customers compete for run time, 1 to 1000. */
  int64_t revision;
} HsAllowance;

/** The list that a record belongs to. */
typedef enum
{
  HS_LIST_PLANS,
  HS_LIST_ALLOWANCES
} HsListKind;

/** The contents of both lists; immutable once published (see publish.h). */
typedef struct HsLists HsLists;

/** Creates empty lists at revision 0. */
HsLists *hs_lists_new (TALLOC_CTX *ctx);

/** Returns a deep copy, to be changed and then published. */
HsLists *hs_lists_copy (TALLOC_CTX *ctx, const HsLists *lists);

/** Returns the store revision up to which the lists are current. */
int64_t hs_lists_revision (const HsLists *lists);

/**
 * Marks the lists as current up to @p revision without a change of a record. A
 * lower revision than the current one has no effect.
 */
void hs_lists_advance_revision (HsLists *lists, int64_t revision);

/**
 * Applies a record as stored, or its deletion. It is ignored unless its
 * revision is higher than that of the current record, or of its deletion.
 * Errors: HS_ERROR_INVALID, also if the name is not hs_name_valid().
 * @param json the record; NULL: it was deleted
 * @param revision the record's mod_revision
 * @return true if the lists changed; false with @p error unset if the revision
 *         was too low or the deleted record was absent
 */
bool hs_lists_apply (HsLists *lists,
                     HsListKind kind,
                     const char *name,
                     const char *json,
                     int64_t revision,
                     GError **error);

/** Looks up a record; NULL if it is absent. Owned by @p lists. */
const HsPlan *hs_lists_plan (const HsLists *lists, const char *customer);
const HsAllowance *hs_lists_allowance (const HsLists *lists, const char *plan);

/** Looks up the allowance of a customer's plan; NULL if either is absent. */
const HsAllowance *hs_lists_customer_allowance (const HsLists *lists,
                                                const char *customer);

/** Returns all @p n records, sorted by name. Owned by @p lists. */
const HsPlan *const *hs_lists_plans (const HsLists *lists, size_t *n);
const HsAllowance *const *hs_lists_allowances (const HsLists *lists, size_t *n);

/** Returns whether @p key is the customer's key, in constant time. */
bool hs_plan_key_matches (const HsPlan *plan, const char *key);

/** Returns whether @p key has the hash @p hash, in constant time. */
bool hs_key_matches_hash (const char *key,
                          const char hash[HS_KEY_HASH_LEN + 1]);

/** Computes the SHA-256 of a key in hex into @p hash. */
void hs_key_hash (const char *key, char hash[HS_KEY_HASH_LEN + 1]);

/**
 * Parses and validates a record. Unknown keys, wrong types and values out of
 * range are errors (HS_ERROR_INVALID) whose message names the key and what to
 * use instead. A plan record may have "key", which is hashed here, or
 * "key_hash".
 */
bool hs_plan_parse (const char *json,
                    const char *customer,
                    HsPlan *plan,
                    GError **error);
bool hs_allowance_parse (const char *json,
                         const char *plan,
                         HsAllowance *allowance,
                         GError **error);

/** Returns a record as JSON on one line, as stored: a key only as its hash. */
char *hs_plan_to_json (TALLOC_CTX *ctx, const HsPlan *plan);
char *hs_allowance_to_json (TALLOC_CTX *ctx, const HsAllowance *allowance);

/** Returns whether @p name is 1 to 64 of [a-zA-Z0-9._-], the first not '.'. */
bool hs_name_valid (const char *name);

/** Returns the prefix of a list's store keys: "hs/plan/" or "hs/allowance/". */
const char *hs_list_prefix (HsListKind kind);

#endif
