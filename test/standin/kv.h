/**
 * @file
 * State machine of a small key-value store with revisions, leases, compares
 * and history, as the platform's service has them. No input or output; time
 * is an argument, so that tests and the fault matrix run it in-process.
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

/** One key as one revision left it. Shared; never changed once made. */
typedef struct
{
  char *key;
  char *value; /**< A NUL follows. */
  size_t value_len;
  int64_t create_revision;
  int64_t mod_revision;
  int64_t version;
  int64_t lease; /**< 0: none. */
} HsKvRecord;

/** One change. */
typedef struct
{
  int64_t revision;
  const HsKvRecord *current;  /**< NULL: deleted. */
  const HsKvRecord *previous; /**< NULL: created. */
} HsKvEvent;

/** Keys from @p key on and before @p end; NULL: that key only, "": no end. */
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
  bool more;          /**< RANGE: cut by the limit. */
  int64_t deleted;    /**< DELETE: how many. */
} HsKvOpResult;

typedef enum
{
  HS_KV_OK,
  HS_KV_NO_LEASE,      /**< The lease is absent; nothing was changed. */
  HS_KV_COMPACTED,     /**< The revision's history is gone. */
  HS_KV_FUTURE,        /**< The revision is yet to come. */
  HS_KV_DUPLICATE_KEY, /**< A txn puts one key twice; nothing was changed. */
} HsKvStatus;

/** An empty store at revision 1. */
HsKv *hs_kv_new (TALLOC_CTX *ctx);

int64_t hs_kv_revision (const HsKv *kv);

/** Deletes what hangs on leases that lapsed; call before each operation. */
void hs_kv_expire_leases (HsKv *kv, HsTime current);

/** When the next lease lapses, or HS_NEVER. */
HsTime hs_kv_next_expiry (const HsKv *kv);

/** The present record of a key, valid until the next change; NULL: none. */
const HsKvRecord *hs_kv_get (HsKv *kv, const char *key);

/**
 * Reads keys as of @p revision, 0: the present.
 * Free @p result's array with g_ptr_array_unref(); valid until kv is freed.
 */
HsKvStatus hs_kv_range (HsKv *kv,
                        const HsKvRange *range,
                        int64_t revision,
                        int64_t limit,
                        HsKvOpResult *result);

bool
hs_kv_compare_all (HsKv *kv, const HsKvCompare *compares, size_t n_compares);

/** Applies operations as one revision; @p results has room for @p n_ops. */
HsKvStatus
hs_kv_apply (HsKv *kv, const HsKvOp *ops, size_t n_ops, HsKvOpResult *results);

/** Grants a lease; @p id 0: chosen by the store. Returns the id. */
int64_t hs_kv_lease_grant (HsKv *kv, int64_t id, int64_t ttl_s, HsTime current);

/** Returns the lease's TTL in seconds, 0 if it is absent. */
int64_t hs_kv_lease_keepalive (HsKv *kv, int64_t id, HsTime current);

HsKvStatus hs_kv_lease_revoke (HsKv *kv, int64_t id);

/**
 * Collects changes of a span from a revision on, oldest first.
 * @param events filled with const HsKvEvent *, valid until the next change
 */
HsKvStatus hs_kv_history (HsKv *kv,
                          const HsKvRange *range,
                          int64_t revision,
                          GPtrArray *events);

/** Drops history before @p revision; 0: before the present one. */
void hs_kv_compact (HsKv *kv, int64_t revision);

/** The oldest revision that can still be read. */
int64_t hs_kv_compact_revision (const HsKv *kv);

#endif
