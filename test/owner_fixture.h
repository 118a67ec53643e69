/**
 * @file
 * Test fixture: one owner with simulated time, whose effects are recorded.
 */
#ifndef HS_TEST_OWNER_FIXTURE_H
#define HS_TEST_OWNER_FIXTURE_H

#include <glib.h>

#include "owner/owner.h"

#define AGENT UINT64_C (100)
#define OTHER_AGENT UINT64_C (200)
#define SLOTS 4
#define EPOCH UINT64_C (7)

/** Bound on the bodies of unfinished jobs. */
#define UNFINISHED_BYTES_MAX 1000000

/** A start that the owner sent; strings are copies. */
typedef struct
{
  uint64_t agent;
  char *id;
  uint32_t index;
  uint64_t epoch;
  hsx_credit credit;
  int64_t permit_us;
  uint64_t content;
} SentStart;

/** An answer that the owner sent. */
typedef struct
{
  HsWaiter waiter;
  hsx_job_state state;
  unsigned int kind;
  bool not_run;
  uint32_t n;
  hsx_task_state tasks[HSX_TASKS_MAX];
  char *first_body;
} ReceivedAnswer;

typedef struct
{
  HsOwner *owner;
  HsNow now;
  GPtrArray *starts;     /* SentStart. */
  GPtrArray *answers;    /* ReceivedAnswer. */
  GArray *rerouted;      /* HsWaiter. */
  GArray *recover_calls; /* uint64_t: agents called. */
  GArray *settle_calls;  /* uint64_t: agents called. */
  GPtrArray *claims;     /* char *: ids to be claimed. */
  GPtrArray *args;       /* Requests, valid until the fixture is freed. */
  HsWaiter next_waiter;
  u_int body_bytes; /* Of each task; 4 unless a test sets it. */
} OwnerFixture;

OwnerFixture *fixture_new (void);
void fixture_free (OwnerFixture *f);

/** Acquires the partition of customer "c" by takeover, or as its first owner if
 *  @p previous_epoch is 0, and reports all claims as loaded. */
void fixture_acquire (OwnerFixture *f, uint64_t epoch, uint64_t previous_epoch);
/** Like fixture_acquire(), but after a handover. */
void fixture_acquire_by_handover (OwnerFixture *f,
                                  uint64_t epoch,
                                  uint64_t previous_epoch);
/** The partition of customer "c". */
uint32_t fixture_partition (void);

/** Adds an agent that every entry knows, connects it and grants credits for all
 *  its slots. */
void fixture_add_agent (OwnerFixture *f, uint64_t agent);
void fixture_set_member_state (OwnerFixture *f,
                               uint64_t agent,
                               hsx_member_state state);
/** Grants credits of a generation for all slots of an agent. */
void fixture_grant (OwnerFixture *f, uint64_t agent, uint32_t generation);

/** Returns a UUIDv7 with the current time plus an offset. */
char *fixture_new_id (OwnerFixture *f, int64_t offset_ms, uint8_t tag);

/** Submits a job of @p n tasks; @p content fills the digest of the job. */
HsWaiter
fixture_submit (OwnerFixture *f, const char *id, uint32_t n, char content);
HsWaiter fixture_cancel (OwnerFixture *f, const char *id);

/** Sends the result of a start, with a new credit for its slot. */
void fixture_send_result (OwnerFixture *f,
                          const SentStart *start,
                          hsx_outcome outcome,
                          hsx_refusal refusal,
                          const char *body);

/** The start number @p i, or NULL. */
const SentStart *fixture_sent_start (const OwnerFixture *f, guint i);
/** The first answer that @p waiter got, or NULL. */
const ReceivedAnswer *fixture_answer (const OwnerFixture *f, HsWaiter waiter);

/** Advances the simulated time and calls hs_owner_tick(). */
void fixture_advance (OwnerFixture *f, HsTime span);

/** Sets the allowance of the customer's plan; @p rate is in starts per second
 *  and also the burst. */
void fixture_set_allowance (OwnerFixture *f,
                            uint32_t in_flight,
                            uint32_t rate,
                            uint32_t queued);

/** Makes a record of a start for a reply to RECOVER or SETTLE. */
hsx_result fixture_record (char *id, uint32_t index, hsx_outcome outcome);
/** Passes a complete reply to RECOVER to the owner. */
void fixture_recover_reply (OwnerFixture *f,
                            uint64_t agent,
                            hsx_result *records,
                            u_int n);

#endif
