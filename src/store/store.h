/**
 * @file
 * Client of a key-value store. It speaks the protocol of the etcd v3 JSON
 * gateway (JSON over HTTP POST, with keys and values in base64) or that of the
 * users' platform. Calls run asynchronously on a tevent loop through libcurl's
 * multi interface; all functions and callbacks run in the loop's thread.
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
  HS_STORE_PROTOCOL_PLATFORM /**< Users' platform; watches are long polls. */
} HsStoreProtocol;

/** How a call ended. */
typedef enum
{
  HS_STORE_OK,          /**< Answered; for a txn, see `succeeded`. */
  HS_STORE_NOT_APPLIED, /**< Certainly not applied. */
  HS_STORE_UNKNOWN /**< Sent, but no valid response: may have been applied. */
} HsStoreStatus;

typedef struct
{
  const char *key;   /**< NUL-terminated. */
  const char *value; /**< May contain NUL bytes; one more follows. */
  size_t value_len;
  int64_t create_revision;
  int64_t mod_revision;
  int64_t lease; /**< 0: none. */
} HsStoreKv;

typedef struct
{
  HsStoreStatus status;
  bool succeeded;       /**< Txn: all compares were true. */
  int64_t revision;     /**< Store revision at the time of the response. */
  int64_t lease;        /**< Lease calls: the id. */
  int64_t ttl_s;        /**< Lease calls: 0 or less if it has expired. */
  size_t n_kvs;         /**< Range, or all range ops of a txn, in order. */
  const HsStoreKv *kvs; /**< Valid during the callback. */
  size_t n_unreadable;  /**< Range: items that were left out. */
  bool more;            /**< Range: there are more keys than the limit. */
} HsStoreReply;

/** Called once when a call ends. */
typedef void (*HsStoreReplyFunc) (void *arg, const HsStoreReply *reply);

/** A compare of a txn: true if the key has this mod_revision (0: absent). */
typedef struct
{
  const char *key;
  int64_t mod_revision;
} HsStoreCompare;

typedef enum
{
  HS_STORE_PUT,
  HS_STORE_DELETE,
  HS_STORE_RANGE /**< Reads one key. */
} HsStoreOpKind;

typedef struct
{
  HsStoreOpKind kind;
  const char *key;
  const char *value; /**< PUT only. */
  int64_t lease;     /**< PUT only; 0: none. */
} HsStoreOp;

/** Maximum number of operations in a txn; etcd's default limit is 128. */
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

/** Number of calls of each kind, and of calls and watches that failed. */
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
 * @param endpoints "http://ip:port" strings, NULL-terminated; after a failure
 *        the client switches to the next one
 * @param timeout limit for each call, and for a watch to be accepted
 */
HsStore *hs_store_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       const char *const *endpoints,
                       HsTime timeout);

/** Sets the protocol, before the first call; HS_STORE_PROTOCOL_ETCD if not. */
void hs_store_set_protocol (HsStore *store, HsStoreProtocol protocol);

/** Reads the keys that begin with @p prefix, at most @p limit (0: no limit). */
void hs_store_range (HsStore *store,
                     const char *prefix,
                     int64_t limit,
                     HsStoreReplyFunc done,
                     void *arg);

/** Runs a transaction: one of its branches, by its compares. */
void hs_store_txn (HsStore *store,
                   const HsStoreTxn *txn,
                   HsStoreReplyFunc done,
                   void *arg);

/** Lease calls: create, renew and revoke a lease; the last deletes its keys. */
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

/** A change of a key that a watch reports. */
typedef struct
{
  bool deleted;
  HsStoreKv kv; /**< If deleted, only key and mod_revision are set. */
} HsStoreEvent;

typedef enum
{
  HS_STORE_WATCH_EVENTS,      /**< Changes, the oldest first. */
  HS_STORE_WATCH_PROGRESS,    /**< No change up to `revision`. */
  HS_STORE_WATCH_COMPACTED,   /**< The next revisions were compacted: the watch
                                   ended; range again, then watch again. */
  HS_STORE_WATCH_DISCONNECTED /**< Connection lost; the client reconnects and
                                   resumes after the last revision seen. */
} HsStoreWatchUpdateKind;

/** What a watch reports; valid during the callback. */
typedef struct
{
  HsStoreWatchUpdateKind kind;
  int64_t revision; /**< Up to which the watch has followed the store, or the
                         compacted one. */
  size_t n_events;
  const HsStoreEvent *events;
} HsStoreWatchUpdate;

typedef void (*HsStoreWatchFunc) (void *arg, const HsStoreWatchUpdate *update);

/**
 * Watches the keys that begin with @p prefix. End the watch with talloc_free(),
 * also from its callback.
 * @param start_revision first revision to report; 0: changes from now on
 */
HsStoreWatch *hs_store_watch (HsStore *store,
                              const char *prefix,
                              int64_t start_revision,
                              HsStoreWatchFunc func,
                              void *arg);

const HsStoreStats *hs_store_stats (const HsStore *store);

#endif
