/**
 * @file
 * State machine of a small key-value store with revisions, leases, compares
 * and history, like the platform's service. It does no input or output and
 * takes the time as an argument, so that tests and the fault matrix can run it
 * in-process.
 */
#ifndef HS_STANDIN_KV_H
#define HS_STANDIN_KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "base/time.h"

typedef struct HsKv HsKv;

/** A key and its value as of one revision. Reference-counted and immutable. */
typedef struct
{
  char *key;
  char *value; /**< With a NUL that value_len doesn't count. */
  size_t value_len;
  int64_t create_revision;
  int64_t mod_revision;
  int64_t version;
  int64_t lease; /**< 0: none. */
} HsKvRecord;

/** One change of a key. */
typedef struct
{
  int64_t revision;
  const HsKvRecord *current;  /**< After the change; NULL: deleted. */
  const HsKvRecord *previous; /**< Before the change; NULL: created. */
} HsKvEvent;

/** Keys from `key` up to but excluding `end`. If `end` is NULL, that key only;
 *  if it is "", all keys from `key` on. */
typedef struct
{
  const char *key;
  const char *end;
} HsKvRange;

typedef enum
{
  HS_KV_TARGET_VERSION,
  HS_KV_TARGET_CREATE,
  HS_KV_TARGET_MOD
} HsKvTarget;

typedef enum
{
  HS_KV_EQUAL,
  HS_KV_NOT_EQUAL,
  HS_KV_GREATER,
  HS_KV_LESS
} HsKvResult;

typedef struct
{
  const char *key;
  HsKvTarget target;
  HsKvResult result;
  int64_t value;
} HsKvCompare;

typedef enum
{
  HS_KV_PUT,
  HS_KV_DELETE,
  HS_KV_RANGE
} HsKvOpKind;

typedef struct
{
  HsKvOpKind kind;
  HsKvRange range;
  const char *value; /**< PUT only. */
  size_t value_len;
  int64_t lease; /**< PUT only. */
  int64_t limit; /**< RANGE only; 0: none. */
} HsKvOp;

typedef struct
{
  GPtrArray *records; /**< RANGE: const HsKvRecord *, by key. */
  bool more;          /**< RANGE: truncated by the limit. */
  int64_t deleted;    /**< DELETE: number of deleted keys. */
} HsKvOpResult;

typedef enum
{
  HS_KV_OK,
  HS_KV_NO_LEASE,      /**< No such lease; nothing was changed. */
  HS_KV_COMPACTED,     /**< The revision has been compacted. */
  HS_KV_FUTURE,        /**< The revision is newer than the current one. */
  HS_KV_DUPLICATE_KEY, /**< A txn puts a key twice; nothing was changed. */
} HsKvStatus;

/** Creates an empty store at revision 1. */
HsKv *hs_kv_new (TALLOC_CTX *ctx);

int64_t hs_kv_revision (const HsKv *kv);

/** Removes expired leases and their keys; call before each operation. */
void hs_kv_expire_leases (HsKv *kv, HsTime current);

/** Returns when the next lease expires, or HS_NEVER. */
HsTime hs_kv_next_expiry (const HsKv *kv);

/** Returns the current record of a key, valid until the next change; NULL if
 *  there is none. */
const HsKvRecord *hs_kv_get (HsKv *kv, const char *key);

/**
 * Reads keys as of @p revision; 0: the current one.
 * @param limit maximum number of records; 0: none
 * @param result its array is released by g_ptr_array_unref() and holds a
 *               reference to each record
 */
HsKvStatus hs_kv_range (HsKv *kv,
                        const HsKvRange *range,
                        int64_t revision,
                        int64_t limit,
                        HsKvOpResult *result);

/** Returns true if all compares hold in the current revision. */
bool
hs_kv_compare_all (HsKv *kv, const HsKvCompare *compares, size_t n_compares);

/** Applies operations as one revision; @p results has @p n_ops elements. */
HsKvStatus
hs_kv_apply (HsKv *kv, const HsKvOp *ops, size_t n_ops, HsKvOpResult *results);

/** Grants a lease and returns its id. The store chooses it if @p id is 0. */
int64_t hs_kv_lease_grant (HsKv *kv, int64_t id, int64_t ttl_s, HsTime current);

/** Renews a lease. Returns its TTL in seconds, 0 if there is no such lease. */
int64_t hs_kv_lease_keepalive (HsKv *kv, int64_t id, HsTime current);

HsKvStatus hs_kv_lease_revoke (HsKv *kv, int64_t id);

/**
 * Collects the changes of a key range from a revision on, oldest first.
 * @param events filled with const HsKvEvent *, valid until the next change
 */
HsKvStatus hs_kv_history (HsKv *kv,
                          const HsKvRange *range,
                          int64_t revision,
                          GPtrArray *events);

/** Drops history before @p revision; 0: before the current one. */
void hs_kv_compact (HsKv *kv, int64_t revision);

/** Returns the oldest revision that can be read. */
int64_t hs_kv_compact_revision (const HsKv *kv);

#endif
