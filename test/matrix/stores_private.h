/**
 * @file
 * Internals of the simulated platform store, shared by stores*.c.
 */
#ifndef HS_MATRIX_STORES_PRIVATE_H
#define HS_MATRIX_STORES_PRIVATE_H

#include "world.h"

/** One-way delay between an entry and the store, including the time of a
 *  synced write. */
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
  uint32_t incarnation; /* Of the calling process. */
  CallKind kind;
  Step step;
  char *prefix;
  int64_t limit;
  int64_t lease;
  int64_t ttl_s;
  size_t n_compares;
  HsKvCompare *compares;
  size_t n_ops[2]; /* [0]: run if a compare fails; [1]: run if all hold. */
  HsKvOp *ops[2];
  HsStoreReplyFunc done;
  void *arg;
  bool ended;
  SimEvent *timeout;
  HsStoreReply reply;
} StoreCall;

/** Runs a call on the state machine and fills in its reply. */
void store_run (StoreCall *call);

/** Schedules a poll of every watch, after a change in the store. */
void store_poll_all (void);

/** Stops all watches of a client that is being freed. */
void store_end_watches (HsStore *store);

/** The first key after all keys that begin with @p prefix; allocated on
 *  @p ctx. */
char *store_prefix_end (TALLOC_CTX *ctx, const char *prefix);

#endif
