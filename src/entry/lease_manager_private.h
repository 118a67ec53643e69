/**
 * @file
 * The manager, as the files that make it up see it.
 */
#ifndef HS_ENTRY_LEASE_MANAGER_PRIVATE_H
#define HS_ENTRY_LEASE_MANAGER_PRIVATE_H

#include "entry/core.h"
#include "entry/promises.h"

/** Partitions taken by one transaction. */
#define HS_TAKEOVER_BATCH_MAX 24

typedef enum
{
  HS_LEASE_NONE,     /* Grant is due. */
  HS_LEASE_GRANTING, /* Grant or the entry's record is under way. */
  HS_LEASE_HELD      /* The lease is held and the record is written. */
} HsLeaseState;

struct HsLeaseManager
{
  HsCore *core;
  HsOwnership *view;
  HsLeaseState state;
  int64_t lease_id;
  HsTime lease_until;
  bool view_confirmed;      /* The view was read under this lease. */
  HsTime store_answered_at; /* When the store last answered. */
  HsPromises *promises;
  HsTime lease_call_sent_at; /* When the lease call under way was sent. */
  bool renewing;
  HsTime renew_at;
  HsTime retry_at;
  HsTime read_started_at; /* When the read under way began. */
  HsTime
      entries_read_started_at; /* When the last whole read of entries began. */
  int64_t own_record_revision; /* Of this entry's own record. */
  bool entries_read;
  bool entries_reread_due; /* One may have lost its record: read again. */
  bool parts_read;
  bool reading;
  bool removing_entry;         /* The record of an entry that is gone. */
  bool own_record_rewrite_due; /* The last write of it may have failed. */
  bool writing_own_record;     /* This entry's record is being written. */
  HsStoreWatch *entry_watch;
  HsStoreWatch *part_watch;
  bool takeover_in_flight;
  bool takeover_unknown; /* A transaction may still take effect. */
  uint32_t
      takeover_parts[HS_TAKEOVER_BATCH_MAX]; /* By the transaction under way. */
  uint32_t n_takeover_parts;
  uint32_t takeover_batch;  /* Falls to one after a failed transaction. */
  int64_t *released_epochs; /* By partition: epochs given up with a lease. */
  HsTime entries_stable_since;
};

/** Pauses before the next call to the store, as one has failed. */
void hs_lease_manager_retry_later (HsLeaseManager *manager);

/** @name lease_manager_renewal.c: the lease and this entry's own record @{ */

/** Asks for a lease and registers this entry under it. */
void hs_lease_manager_request_lease (HsLeaseManager *manager, HsNow now);
void hs_lease_manager_renew_lease (HsLeaseManager *manager, HsNow now);

/** Writes this entry's record, again with "leaving" when a planned stop
 *  begins. */
void hs_lease_manager_write_own_record (HsLeaseManager *manager);

/** Tells the owner until when it may start tasks; gives the partitions up
 *  once the lease has lapsed. */
void hs_lease_manager_update_lease (HsLeaseManager *manager, HsNow now);

/** @} */
/** @name lease_manager_view.c: the records of entries and partitions @{ */

/** Reads all records and watches them from there on. */
void hs_lease_manager_read_all (HsLeaseManager *manager);

/** @} */
/** @name lease_manager_takeover.c: takeover of partitions @{ */

/** Takes or hands on what the view says. */
void hs_lease_manager_assign_parts (HsLeaseManager *manager, HsNow now);

/** @} */
/** @name lease_manager_promises.c: promises in an outage of the store @{ */

/** Asks the other entries for promises while the store is silent. */
void hs_lease_manager_request_promises (HsLeaseManager *manager, HsNow now);
void hs_lease_manager_store_answered (HsLeaseManager *manager, HsNow now);

/** @} */

#endif
