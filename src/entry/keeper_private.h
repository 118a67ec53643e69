/**
 * @file
 * The keeper, as the files that make it up see it.
 */
#ifndef HS_ENTRY_KEEPER_PRIVATE_H
#define HS_ENTRY_KEEPER_PRIVATE_H

#include "entry/core.h"
#include "entry/promises.h"

/** Partitions taken by one transaction. */
#define HS_KEEPER_TAKE_MAX 24

typedef enum
{
  HS_KEEPER_NO_LEASE, /* Grant is due. */
  HS_KEEPER_GRANTING, /* Grant or the entry's record is under way. */
  HS_KEEPER_HOLDING   /* The lease is held and the record is written. */
} HsKeeperState;

struct HsKeeper
{
  HsCore *core;
  HsOwnership *view;
  HsKeeperState state;
  int64_t lease;
  HsTime lease_until;
  bool confirmed;  /* The view was read under this lease. */
  HsTime answered; /* When the store last answered. */
  HsPromises *promises;
  HsTime call_sent; /* When the lease call under way was sent. */
  bool renewing;
  HsTime renew_at;
  HsTime retry_at;
  HsTime read_sent;        /* When the read under way began. */
  HsTime entries_sent;     /* When the last whole read of entries began. */
  int64_t record_revision; /* Of this entry's own record. */
  bool entries_read;
  bool entries_doubted; /* One may have lost its record: read again. */
  bool parts_read;
  bool reading;
  bool removing;  /* The record of an entry that is gone. */
  bool rewrite;   /* The last write of it may have failed. */
  bool recording; /* This entry's record is being written. */
  HsStoreWatch *entry_watch;
  HsStoreWatch *part_watch;
  bool taking;
  bool unsettled;                     /* A transaction may still take effect. */
  uint32_t taken[HS_KEEPER_TAKE_MAX]; /* By the transaction under way. */
  uint32_t n_taken;
  uint32_t take_most; /* Falls to one after a failed transaction. */
  int64_t *dropped;   /* By partition: epochs given up with a lease. */
  HsTime stable_since;
};

/** Pauses before the next call to the store, as one has failed. */
void hs_keeper_retry_later (HsKeeper *keeper);

/** @name keeper_lease.c: the lease and this entry's own record @{ */

/** Asks for a lease and registers this entry under it. */
void hs_keeper_grant (HsKeeper *keeper, HsNow now);
void hs_keeper_renew (HsKeeper *keeper, HsNow now);

/** Writes this entry's record, again with "leaving" when a planned stop
 *  begins. */
void hs_keeper_write_record (HsKeeper *keeper);

/** Tells the owner until when it may start tasks; gives the partitions up
 *  once the lease has lapsed. */
void hs_keeper_update_lease (HsKeeper *keeper, HsNow now);

/** @} */
/** @name keeper_view.c: the records of entries and partitions @{ */

/** Reads all records and watches them from there on. */
void hs_keeper_read_all (HsKeeper *keeper);

/** @} */
/** @name keeper_take.c: takeover of partitions @{ */

/** Takes or hands on what the view says. */
void hs_keeper_decide (HsKeeper *keeper, HsNow now);

/** @} */
/** @name keeper_promises.c: promises in an outage of the store @{ */

/** Asks the other entries for promises while the store is silent. */
void hs_keeper_ask_promises (HsKeeper *keeper, HsNow now);
void hs_keeper_store_answered (HsKeeper *keeper, HsNow now);

/** @} */

#endif
