/**
 * @file
 * Client of a key-value service, over the etcd v3 JSON gateway (HTTP POST of
 * JSON, keys and values in base64) or the protocol of the users' platform.
 * Calls are asynchronous on a tevent loop through libcurl's multi interface;
 * all functions and callbacks belong to the loop's thread.
 */
#ifndef HS_STORE_STORE_H
#define HS_STORE_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "base/time.h"

typedef struct HsStore HsStore;
typedef struct HsStoreWatch HsStoreWatch;

/** Protocols that the client speaks. */
typedef enum
{
  HS_STORE_PROTOCOL_ETCD, /**< The etcd v3 JSON gateway; watches are streams. */
  HS_STORE_PROTOCOL_PLATFORM /**< The users' platform; watches are long polls.
                              */
} HsStoreProtocol;

/** What is known of a call after it ended. */
typedef enum
{
  HS_STORE_OK, /**< Answered; `succeeded` tells which branch a txn took. */
  HS_STORE_NOT_APPLIED, /**< Certain: never reached the store. */
  HS_STORE_UNKNOWN      /**< Sent, no whole answer: read back before acting. */
} HsStoreStatus;

typedef struct
{
  const char *key;   /**< NUL-terminated. */
  const char *value; /**< NUL-terminated too, may hold any text. */
  size_t value_len;
  int64_t create_revision;
  int64_t mod_revision;
  int64_t lease; /**< 0: none. */
} HsStoreKv;

typedef struct
{
  HsStoreStatus status;
  bool succeeded;       /**< Txn: all compares held. */
  int64_t revision;     /**< Store revision of the answer. */
  int64_t lease;        /**< Lease calls: the id. */
  int64_t ttl_s;        /**< Lease calls: 0 or less: lapsed. */
  size_t n_kvs;         /**< Range, and txn: of all range ops in order. */
  const HsStoreKv *kvs; /**< Valid during the callback. */
  bool more;            /**< Range: cut by the limit. */
} HsStoreReply;

typedef void (*HsStoreReplyFunc) (void *arg, const HsStoreReply *reply);

/** One compare of a txn: the key's mod_revision (0: absent) must equal. */
typedef struct
{
  const char *key;
  int64_t mod_revision;
} HsStoreCompare;

typedef enum
{
  HS_STORE_PUT,
  HS_STORE_DELETE,
  HS_STORE_RANGE /**< One key. */
} HsStoreOpKind;

typedef struct
{
  HsStoreOpKind kind;
  const char *key;
  const char *value; /**< PUT only. */
  int64_t lease;     /**< PUT only; 0: none. */
} HsStoreOp;

/** At most this many operations in a txn (etcd's default bound is 128). */
#define HS_STORE_TXN_MAX_OPS 100

typedef struct
{
  size_t n_compares;
  const HsStoreCompare *compares;
  size_t n_success;
  const HsStoreOp *success;
  size_t n_failure;
  const HsStoreOp *failure;
} HsStoreTxn;

/** Calls counted by kind, for the budget. */
typedef struct
{
  uint64_t ranges;
  uint64_t txns;
  uint64_t lease_calls;
  uint64_t watches;
  uint64_t failures;
} HsStoreStats;

/**
 * Creates a client.
 * @param endpoints "http://ip:port", NULL-terminated; tried in turn after a
 *        failure
 * @param timeout bound on each call but watches
 */
HsStore *hs_store_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       const char *const *endpoints,
                       HsTime timeout);

/** Chooses the protocol, before the first call; HS_STORE_PROTOCOL_ETCD if not.
 */
void hs_store_set_protocol (HsStore *store, HsStoreProtocol protocol);

/** All keys that begin with @p prefix, at most @p limit (0: no limit). */
void hs_store_range (HsStore *store,
                     const char *prefix,
                     int64_t limit,
                     HsStoreReplyFunc done,
                     void *arg);

void hs_store_txn (HsStore *store,
                   const HsStoreTxn *txn,
                   HsStoreReplyFunc done,
                   void *arg);

void hs_store_lease_grant (HsStore *store,
                           int64_t ttl_s,
                           HsStoreReplyFunc done,
                           void *arg);
void hs_store_lease_keepalive (HsStore *store,
                               int64_t lease,
                               HsStoreReplyFunc done,
                               void *arg);
void hs_store_lease_revoke (HsStore *store,
                            int64_t lease,
                            HsStoreReplyFunc done,
                            void *arg);

/** One change seen by a watch. */
typedef struct
{
  bool deleted;
  HsStoreKv kv; /**< Deleted: key and mod_revision only. */
} HsStoreEvent;

typedef enum
{
  HS_STORE_WATCH_EVENTS,    /**< Changes, oldest first. */
  HS_STORE_WATCH_PROGRESS,  /**< No change; `revision` is reached. */
  HS_STORE_WATCH_COMPACTED, /**< History gone: range again, then watch anew. */
  HS_STORE_WATCH_DISCONNECTED /**< Connection lost; it is dialled again by
                    itself from the revision after the last one seen. */
} HsStoreWatchUpdateKind;

typedef struct
{
  HsStoreWatchUpdateKind kind;
  int64_t revision;
  size_t n_events;
  const HsStoreEvent *events;
} HsStoreWatchUpdate;

typedef void (*HsStoreWatchFunc) (void *arg, const HsStoreWatchUpdate *note);

/** Watches a prefix from @p start_revision on; talloc_free() ends it. */
HsStoreWatch *hs_store_watch (HsStore *store,
                              const char *prefix,
                              int64_t start_revision,
                              HsStoreWatchFunc func,
                              void *arg);

const HsStoreStats *hs_store_stats (const HsStore *store);

#endif
