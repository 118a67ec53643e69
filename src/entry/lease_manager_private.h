/**
 * @file
 * State and functions shared by the files of the lease manager. It holds this
 * entry's lease and record at the store, keeps the view of all entry and
 * partition records, and takes over partitions.
 */
#ifndef HS_ENTRY_LEASE_MANAGER_PRIVATE_H
#define HS_ENTRY_LEASE_MANAGER_PRIVATE_H

#include "entry/core.h"
#include "entry/promises.h"

/** Most partitions taken over by one transaction. */
#define HS_TAKEOVER_BATCH_MAX 24

typedef enum
{
  HS_LEASE_NONE,     /* A lease has to be requested. */
  HS_LEASE_GRANTING, /* The request or the own record is in flight. */
  HS_LEASE_HELD      /* The lease is held and the own record is written. */
} HsLeaseState;

struct HsLeaseManager
{
  HsCore *core;
  HsOwnership *view;
  HsLeaseState state;
  int64_t lease_id;
  HsTime lease_until;
  bool view_confirmed; /* The view was read under this lease. */
  HsTime store_answered_at;
  HsPromises *promises;
  HsTime lease_call_sent_at; /* Of the grant or renewal in flight. */
  bool renewing;
  HsTime renew_at;
  HsTime retry_at;
  HsTime read_started_at;         /* Of the read in flight. */
  HsTime entries_read_started_at; /* Of the last complete read of entries. */
  int64_t own_record_revision;
  int64_t expected_record_revision; /* Compared by the next write of it. */
  bool entries_read;
  /* Read the entry records again: that of an unconnected entry may have been
     deleted, or the last read failed. */
  bool entries_reread_due;
  bool parts_read;
  bool reading;
  bool removing_entry; /* The deletion of a terminated entry's record is in
                          flight. */
  bool own_record_rewrite_due; /* The last write may have failed. */
  bool writing_own_record;
  bool
      writing_outdated_record; /* The write in flight is of an earlier lease. */
  HsStoreWatch *entry_watch;
  HsStoreWatch *part_watch;
  bool takeover_in_flight;
  bool takeover_unknown; /* Outcome unknown: it may still take effect. */
  /* Of the transaction in flight. */
  uint32_t takeover_parts[HS_TAKEOVER_BATCH_MAX];
  uint32_t n_takeover_parts;
  uint32_t takeover_batch; /* Batch size; 1 after a failed transaction. */
  /* Indexed by partition: the epoch at which this entry released it because
     its lease had lapsed; 0: none. */
  int64_t *released_epochs;
  HsTime entries_stable_since; /* When an entry record last changed. */
};

/** Delays the next call to the store, as one has failed. */
void hs_lease_manager_retry_later (HsLeaseManager *manager);

/** @name lease_manager_renewal.c: the lease and this entry's own record @{ */

/** Requests a lease, then writes this entry's record under it. */
void hs_lease_manager_request_lease (HsLeaseManager *manager, HsNow now);
void hs_lease_manager_renew_lease (HsLeaseManager *manager, HsNow now);

/** Writes this entry's record, with "leaving" once a planned stop began. */
void hs_lease_manager_write_own_record (HsLeaseManager *manager);

/**
 * Reports to the owner until when it may start tasks; releases the partitions
 * once the lease has lapsed.
 */
void hs_lease_manager_update_lease (HsLeaseManager *manager, HsNow now);

/** @} */
/** @name lease_manager_view.c: the records of entries and partitions @{ */

/** Reads all records, then watches them from the revision of the read. */
void hs_lease_manager_read_all (HsLeaseManager *manager);

/** @} */
/** @name lease_manager_takeover.c: takeover of partitions @{ */

/** Takes over and hands over partitions as the view decides. */
void hs_lease_manager_assign_parts (HsLeaseManager *manager, HsNow now);

/** @} */
/** @name lease_manager_promises.c: promises in an outage of the store @{ */

/** Requests promises of the other entries while the store doesn't answer. */
void hs_lease_manager_request_promises (HsLeaseManager *manager, HsNow now);
void hs_lease_manager_store_answered (HsLeaseManager *manager, HsNow now);

/** @} */

#endif
