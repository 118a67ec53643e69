#include <string.h>

#include "base/log.h"
#include "entry/core.h"
#include "lists/sync.h"
#include "store/claims.h"

#define PART "records"

/** A claim that is not settled by the store in this time ends undecided. */
#define CLAIM_TIMEOUT (5 * HS_SEC)

/** Claims are kept longer than answers, so that an id does not count as new
 *  while a caller may still resubmit it. */
#define CLAIM_RETENTION (24 * 3600 * HS_SEC)

/** Delay before claims are read again if the store failed or lags behind. */
#define RELOAD_DELAY_US (300 * 1000)

/* A scheduled reload of the claims of a partition. */
typedef struct
{
  HsCore *core;
  uint32_t part;
} ClaimsReload;

/* A claim that waits for its outcome. */
typedef struct
{
  HsCore *core;
  char *customer;
  char *id;
} PendingClaim;

static void on_lists_changed (void *arg, const HsLists *lists);
static void load_claims (HsCore *core, uint32_t part, int64_t revision);
static void on_claims_loaded (void *arg,
                              uint32_t part,
                              bool complete,
                              size_t n,
                              const HsClaimRecord *records);
static void schedule_reload (HsCore *core, uint32_t part);
static void on_reload (struct tevent_context *ev,
                       struct tevent_timer *timer,
                       struct timeval now,
                       void *arg);
static void on_claim_settled (void *arg, HsClaimOutcome outcome);
static HsOwnerClaimOutcome owner_claim_outcome (HsClaimOutcome outcome);

void
hs_records_start (HsCore *core)
{
  HsClaimLimits limits
      = { core->entry->claims_per_s, CLAIM_TIMEOUT, CLAIM_RETENTION };

  core->claims = hs_claims_new (core, core->ev, core->store, &limits);
  core->sync = hs_lists_sync_new (core, core->ev, core->store, core->lists,
                                  on_lists_changed, core);
}

void
hs_records_owned (HsCore *core, uint32_t part, int64_t revision)
{
  load_claims (core, part, revision);
}

void
hs_records_disowned (HsCore *core, uint32_t part)
{
  hs_claims_close_part (core->claims, part);
}

void
hs_records_claim (void *arg,
                  uint32_t part,
                  uint64_t epoch,
                  const char *customer,
                  const char *id,
                  const char digest[HSX_DIGEST_SIZE])
{
  HsCore *core = arg;
  PendingClaim *pending = talloc_zero (core, PendingClaim);
  char hex[2 * HSX_DIGEST_SIZE + 1];
  HsNow now = hs_now ();
  int i;

  for (i = 0; i < HSX_DIGEST_SIZE; i++)
    g_snprintf (hex + 2 * i, 3, "%02x", (unsigned char) digest[i]);
  pending->core = core;
  pending->customer = talloc_strdup (pending, customer);
  pending->id = talloc_strdup (pending, id);
  hs_claims_add (core->claims, part, (int64_t) epoch, customer, id, hex, &now,
                 on_claim_settled, pending);
}

static void
on_lists_changed (void *arg, const HsLists *lists)
{
  HsCore *core = arg;
  HsNow now = hs_now ();

  hs_owner_set_lists (core->owner, lists, now);
  hs_core_schedule_tick (core, now);
}

static void
load_claims (HsCore *core, uint32_t part, int64_t revision)
{
  hs_claims_load_part (core->claims, part, revision, on_claims_loaded, core);
}

static void
on_claims_loaded (void *arg,
                  uint32_t part,
                  bool complete,
                  size_t n,
                  const HsClaimRecord *records)
{
  HsCore *core = arg;
  HsNow now = hs_now ();
  size_t i;

  if (!hs_owner_owns (core->owner, part))
    return;
  if (!complete)
    {
      schedule_reload (core, part);
      return;
    }
  for (i = 0; i < n; i++)
    hs_owner_add_claim (core->owner, part, records[i].customer, records[i].id,
                        records[i].wall_ms, now);
  hs_owner_claims_loaded (core->owner, part, now);
  hs_core_schedule_tick (core, now);
}

static void
schedule_reload (HsCore *core, uint32_t part)
{
  ClaimsReload *reload = talloc_zero (core, ClaimsReload);

  reload->core = core;
  reload->part = part;
  tevent_add_timer (core->ev, reload,
                    tevent_timeval_current_ofs (0, RELOAD_DELAY_US), on_reload,
                    reload);
}

static void
on_reload (struct tevent_context *ev,
           struct tevent_timer *timer,
           struct timeval now,
           void *arg)
{
  ClaimsReload *reload = arg;
  HsCore *core = reload->core;
  uint32_t part = reload->part;

  (void) ev;
  (void) timer;
  (void) now;
  if (hs_owner_owns (core->owner, part))
    load_claims (core, part,
                 hs_ownership_part_record (
                     hs_lease_manager_view (core->lease_manager), part)
                     ->revision);
  talloc_free (reload);
}

static void
on_claim_settled (void *arg, HsClaimOutcome outcome)
{
  PendingClaim *pending = arg;
  HsCore *core = pending->core;
  HsNow now = hs_now ();

  hs_owner_claim_completed (core->owner, pending->customer, pending->id,
                            owner_claim_outcome (outcome), now);
  talloc_free (pending);
  hs_core_schedule_tick (core, now);
}

static HsOwnerClaimOutcome
owner_claim_outcome (HsClaimOutcome outcome)
{
  switch (outcome)
    {
    case HS_CLAIM_COMMITTED:
      return HS_OWNER_CLAIM_WRITTEN;
    case HS_CLAIM_NOT_OWNER:
      return HS_OWNER_CLAIM_NOT_OWNER;
    case HS_CLAIM_UNAVAILABLE:
      return HS_OWNER_CLAIM_NOT_WRITTEN;
    case HS_CLAIM_UNKNOWN:
      return HS_OWNER_CLAIM_UNKNOWN;
    }
  return HS_OWNER_CLAIM_UNKNOWN;
}
