/**
 * @file
 * The platform's store, as the files that make it up see it.
 */
#ifndef HS_MATRIX_STORES_PRIVATE_H
#define HS_MATRIX_STORES_PRIVATE_H

#include "world.h"

/** One way between an entry and the store, with a synced write. */
#define STORE_DELAY (2 * HS_MSEC)

struct HsStore
{
  Proc *proc;
  GPtrArray *watches;
  HsStoreStats stats;
};

typedef enum
{
  CALL_RANGE,
  CALL_TXN,
  CALL_GRANT,
  CALL_KEEPALIVE,
  CALL_REVOKE
} CallKind;

typedef struct
{
  Proc *proc;
  uint32_t incarnation; /* Of the process that calls. */
  CallKind kind;
  Step step;
  char *prefix;
  int64_t limit;
  int64_t lease;
  int64_t ttl_s;
  size_t n_compares;
  HsKvCompare *compares;
  size_t n_ops[2]; /* Failure, success. */
  HsKvOp *ops[2];
  HsStoreReplyFunc done;
  void *arg;
  bool ended;
  SimEvent *timeout;
  HsStoreReply reply;
} StoreCall;

/** Runs a call on the state machine and fills its reply. */
void store_run (StoreCall *call);

/** Lets every watch look a little later at what a change has left. */
void store_poll_all (void);

/** Stops the watches of a client that is being freed. */
void store_end_watches (HsStore *store);

/** The end of the span of keys that begin with @p prefix. */
char *store_prefix_end (TALLOC_CTX *ctx, const char *prefix);

#endif
