#include <string.h>

#include "base/log.h"
#include "entry/core.h"
#include "lists/sync.h"
#include "store/claims.h"

#define PART "records"

/** A claim that the store doesn't settle for so long ends undecided. */
#define CLAIM_PATIENCE (5 * HS_SEC)

/** Claims outlive the retention of answers, so that an id is never fresh
 *  again while a caller may still resubmit it. */
#define CLAIM_RETENTION (24 * 3600 * HS_SEC)

/** Pause before claims are read again, as the store failed or is behind. */
#define RELOAD_PAUSE_US (300 * 1000)

/* A partition whose claims are to be read again. */
typedef struct
{
  HsCore *core;
  uint32_t part;
} Reload;

/* A claim of the owner that waits. */
typedef struct
{
  HsCore *core;
  char *customer;
  char *id;
} Waiting;

static void on_lists (void *arg, const HsLists *lists);
static void load_claims (HsCore *core, uint32_t part, int64_t revision);
static void on_claims_loaded (void *arg,
                              uint32_t part,
                              bool complete,
                              size_t n,
                              const HsClaimRecord *records);
static void load_later (HsCore *core, uint32_t part);
static void on_reload (struct tevent_context *ev,
                       struct tevent_timer *timer,
                       struct timeval now,
                       void *arg);
static void on_claimed (void *arg, HsClaimOutcome outcome);
static HsOwnerClaim translate (HsClaimOutcome outcome);

void
hs_records_start (HsCore *core)
{
  HsClaimLimits limits
      = { core->entry->claims_per_s, CLAIM_PATIENCE, CLAIM_RETENTION };

  core->claims = hs_claims_new (core, core->ev, core->store, &limits);
  core->sync = hs_lists_sync_new (core, core->ev, core->store, core->lists,
                                  on_lists, core);
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
  Waiting *waiting = talloc_zero (core, Waiting);
  char hex[2 * HSX_DIGEST_SIZE + 1];
  HsNow now = hs_now ();
  int i;

  for (i = 0; i < HSX_DIGEST_SIZE; i++)
    g_snprintf (hex + 2 * i, 3, "%02x", (unsigned char) digest[i]);
  waiting->core = core;
  waiting->customer = talloc_strdup (waiting, customer);
  waiting->id = talloc_strdup (waiting, id);
  hs_claims_add (core->claims, part, (int64_t) epoch, customer, id, hex, &now,
                 on_claimed, waiting);
}

static void
on_lists (void *arg, const HsLists *lists)
{
  HsCore *core = arg;
  HsNow now = hs_now ();

  hs_owner_set_lists (core->owner, lists, now);
  hs_core_rearm (core, now);
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
      load_later (core, part);
      return;
    }
  for (i = 0; i < n; i++)
    hs_owner_claim_found (core->owner, part, records[i].customer, records[i].id,
                          records[i].wall_ms, now);
  hs_owner_claims_loaded (core->owner, part, now);
  hs_core_rearm (core, now);
}

static void
load_later (HsCore *core, uint32_t part)
{
  Reload *reload = talloc_zero (core, Reload);

  reload->core = core;
  reload->part = part;
  tevent_add_timer (core->ev, reload,
                    tevent_timeval_current_ofs (0, RELOAD_PAUSE_US), on_reload,
                    reload);
}

static void
on_reload (struct tevent_context *ev,
           struct tevent_timer *timer,
           struct timeval now,
           void *arg)
{
  Reload *reload = arg;
  HsCore *core = reload->core;
  uint32_t part = reload->part;

  (void) ev;
  (void) timer;
  (void) now;
  if (hs_owner_owns (core->owner, part))
    load_claims (
        core, part,
        hs_ownership_record (hs_keeper_view (core->keeper), part)->revision);
  talloc_free (reload);
}

static void
on_claimed (void *arg, HsClaimOutcome outcome)
{
  Waiting *waiting = arg;
  HsCore *core = waiting->core;
  HsNow now = hs_now ();

  hs_owner_claimed (core->owner, waiting->customer, waiting->id,
                    translate (outcome), now);
  talloc_free (waiting);
  hs_core_rearm (core, now);
}

static HsOwnerClaim
translate (HsClaimOutcome outcome)
{
  switch (outcome)
    {
    case HS_CLAIM_COMMITTED:
      return HS_OWNER_CLAIMED;
    case HS_CLAIM_NOT_OWNER:
      return HS_OWNER_CLAIM_DEPOSED;
    case HS_CLAIM_UNAVAILABLE:
      return HS_OWNER_CLAIM_REFUSED;
    case HS_CLAIM_UNKNOWN:
      return HS_OWNER_CLAIM_UNDECIDED;
    }
  return HS_OWNER_CLAIM_UNDECIDED;
}
