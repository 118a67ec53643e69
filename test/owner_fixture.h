/**
 * @file
 * One owner with recorded effects and fake time, for tests of its decisions.
 */
#ifndef HS_TEST_OWNER_FIXTURE_H
#define HS_TEST_OWNER_FIXTURE_H

#include <glib.h>

#include "owner/owner.h"

#define AGENT UINT64_C (100)
#define OTHER_AGENT UINT64_C (200)
#define SLOTS 4
#define EPOCH UINT64_C (7)

/** A start as it left; strings are copies. */
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

/** An answer as it left. */
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
  GArray *recover_calls; /* uint64_t: agents asked. */
  GArray *settle_calls;  /* uint64_t: agents asked. */
  GPtrArray *claims;     /* char *: ids. */
  GPtrArray *args;       /* Kept until the end. */
  HsWaiter next_waiter;
} OwnerFixture;

OwnerFixture *fixture_new (void);
void fixture_free (OwnerFixture *f);

/** Owns the partition of customer "c" with all claims loaded. */
void fixture_acquire (OwnerFixture *f, uint64_t epoch, uint64_t previous);
void fixture_acquire_by_handover (OwnerFixture *f,
                                  uint64_t epoch,
                                  uint64_t previous);
uint32_t fixture_partition (void);

/** Announces, connects and grants all slots of an agent. */
void fixture_add_agent (OwnerFixture *f, uint64_t agent);
void fixture_set_member_state (OwnerFixture *f,
                               uint64_t agent,
                               hsx_member_state state);
void fixture_grant (OwnerFixture *f, uint64_t agent, uint32_t generation);

/** A UUIDv7 minted at the present time plus an offset. */
char *fixture_new_id (OwnerFixture *f, int64_t offset_ms, uint8_t tag);

HsWaiter
fixture_submit (OwnerFixture *f, const char *id, uint32_t n, char content);
HsWaiter fixture_cancel (OwnerFixture *f, const char *id);

/** The result of a start, with the slot granted again. */
void fixture_send_result (OwnerFixture *f,
                          const SentStart *start,
                          hsx_outcome outcome,
                          hsx_refusal refusal,
                          const char *body);

const SentStart *fixture_sent_start (const OwnerFixture *f, guint i);
const ReceivedAnswer *fixture_answer (const OwnerFixture *f, HsWaiter waiter);

/** Passes fake time and ticks. */
void fixture_advance (OwnerFixture *f, HsTime span);

/** Sets the allowance of the customer's plan. */
void fixture_set_allowance (OwnerFixture *f,
                            uint32_t in_flight,
                            uint32_t rate,
                            uint32_t queued);

/** One record of an agent's memory, for RECOVER. */
hsx_result fixture_record (char *id, uint32_t index, hsx_outcome outcome);
void fixture_recover_reply (OwnerFixture *f,
                            uint64_t agent,
                            hsx_result *records,
                            u_int n);

#endif
