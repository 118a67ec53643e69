/**
 * @file
 * One owner with recorded effects and fake time, for tests of its decisions.
 */
#ifndef HS_TEST_OWNER_WORLD_H
#define HS_TEST_OWNER_WORLD_H

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
} Answered;

typedef struct
{
  HsOwner *owner;
  HsNow now;
  GPtrArray *starts;  /* SentStart. */
  GPtrArray *answers; /* Answered. */
  GArray *rerouted;   /* HsWaiter. */
  GArray *recovers;   /* uint64_t: agents asked. */
  GArray *settles;    /* uint64_t: agents asked. */
  GPtrArray *claims;  /* char *: ids. */
  GPtrArray *args;    /* Kept until the end. */
  HsWaiter next_waiter;
} World;

World *world_new (void);
void world_free (World *w);

/** Owns the partition of customer "c" with all claims loaded. */
void world_own (World *w, uint64_t epoch, uint64_t previous);
uint32_t world_part (void);

/** Announces, connects and grants all slots of an agent. */
void world_agent (World *w, uint64_t agent);
void world_member (World *w, uint64_t agent, hsx_member_state state);
void world_grant (World *w, uint64_t agent, uint32_t generation);

/** A UUIDv7 minted at the present time plus an offset. */
char *world_id (World *w, int64_t offset_ms, uint8_t tag);

HsWaiter world_submit (World *w, const char *id, uint32_t n, char content);
HsWaiter world_cancel (World *w, const char *id);

/** The result of a start, with the slot granted again. */
void world_result (World *w,
                   const SentStart *start,
                   hsx_outcome outcome,
                   hsx_refusal refusal,
                   const char *body);

const SentStart *world_start (const World *w, guint i);
const Answered *world_answer (const World *w, HsWaiter waiter);

/** Passes fake time and ticks. */
void world_pass (World *w, HsTime span);

/** Sets the allowance of the customer's plan. */
void world_allow (World *w, uint32_t in_flight, uint32_t rate, uint32_t queued);

/** One record of an agent's memory, for RECOVER. */
hsx_result world_record (char *id, uint32_t index, hsx_outcome outcome);
void world_recovered (World *w, uint64_t agent, hsx_result *records, u_int n);

#endif
