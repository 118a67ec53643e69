/**
 * @file
 * A fake entry for tests of an agent. It answers ANNOUNCE, stores the credits
 * and results that it receives, and sends the calls that a test requests.
 */
#ifndef STANDIN_FAKE_ENTRY_H
#define STANDIN_FAKE_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "rpc/conn.h"

#define FAKE_RESULTS_MAX 32
#define FAKE_CREDITS_MAX 32
/** Partition, customer and id of every task. The id has a blank, to test
 *  escaping. */
#define FAKE_PART 5
#define FAKE_CUSTOMER "c1"
#define FAKE_ID "j b"

/** One received result. */
typedef struct
{
  hsx_outcome outcome;
  hsx_refusal refusal;
  uint64_t epoch;
  uint32_t index;
  uint32_t http_status;
  bool has_next; /* The result brought a new credit for the freed slot. */
  char body[64];
} FakeResult;

/** The entry. `results` came by RESULT, `reply_results` in replies to RECOVER
 *  and SETTLE. */
typedef struct
{
  HsRpc *rpc;
  HsConn *conn;
  uint64_t incarnation;
  hsx_credit credits[FAKE_CREDITS_MAX];
  uint32_t n_credits;
  FakeResult results[FAKE_RESULTS_MAX];
  uint32_t n_results;
  FakeResult reply_results[FAKE_RESULTS_MAX];
  uint32_t n_reply_results;
  uint32_t n_replies;
  uint32_t remembers_s; /* Time that the agent's start log covers, seconds. */
  uint32_t cursor;      /* Position at which the next RECOVER continues. */
  hsx_member_state member_state;
  uint32_t announced_slots; /* Slots in the agent's last ANNOUNCE. */
  uint32_t revision;        /* Last announced revision of the agent's record. */
  uint32_t n_probes;        /* Probes received; none is answered. */
  uint32_t n_crashes;       /* Crashes of the target that were reported. */
  uint32_t crash_customers; /* Customers that had tasks there at the last. */
} FakeEntry;

/** Creates an entry that listens on a free port of 127.0.0.1; NULL on error. */
FakeEntry *fake_entry_new (struct tevent_context *ev,
                           const char *key,
                           uint64_t incarnation);

/** Sends a start with the newest credit; false if there is none. */
bool fake_entry_start (FakeEntry *entry,
                       uint64_t epoch,
                       uint32_t index,
                       const char *body,
                       uint32_t timeout_ms);

/** Returns the first result of a task; NULL if none was received. */
const FakeResult *fake_entry_result (const FakeEntry *entry, uint32_t index);

/** Sends RECOVER with the cursor of the last reply; the reply increments
 *  `n_replies`. */
bool fake_entry_recover (FakeEntry *entry, uint64_t epoch);

/** Sends SETTLE for these tasks; the reply increments `n_replies`. */
bool fake_entry_settle (FakeEntry *entry, const uint32_t *indexes, uint32_t n);

#endif
