#include "store/claims.h"

#include "store/claim_load.h"

/* A write under way. It belongs to the store, whose answer may come after
   the claims are gone. */
typedef struct
{
  HsClaims *claims; /* NULL: gone. */
} Write;

typedef struct
{
  HsClaims *claims;
  HsClaimLoad *load;
  uint32_t part;
  int64_t revision;
  HsClaimsLoaded loaded;
  void *arg;
} Load;

struct HsClaims
{
  struct tevent_context *ev;
  HsStore *store;
  HsClaimLog *log;
  Write *write;      /* NULL: none under way. */
  GHashTable *loads; /* uint32_t * to Load *. */
  struct tevent_timer *timer;
};

static int free_claims (HsClaims *claims);
static void cancel_load (HsClaims *claims, uint32_t part);
static void on_loaded (void *arg, const HsClaimLoad *load, bool complete);
static void pump (HsClaims *claims, const HsNow *now);
static void on_written (void *arg, const HsStoreReply *reply);

HsClaims *
hs_claims_new (TALLOC_CTX *ctx,
               struct tevent_context *ev,
               HsStore *store,
               const HsClaimLimits *limits)
{
  HsClaims *claims = talloc_zero (ctx, HsClaims);

  claims->ev = ev;
  claims->store = store;
  claims->log = hs_claim_log_new (claims, limits);
  claims->loads = g_hash_table_new (g_int_hash, g_int_equal);
  talloc_set_destructor (claims, free_claims);
  return claims;
}

void
hs_claims_load (HsClaims *claims,
                uint32_t part,
                int64_t revision,
                HsClaimsLoaded loaded,
                void *arg)
{
  Load *load = talloc_zero (claims, Load);

  cancel_load (claims, part);
  hs_claim_log_drop (claims->log, part);
  load->claims = claims;
  load->part = part;
  load->revision = revision;
  load->loaded = loaded;
  load->arg = arg;
  load->load
      = hs_claim_load_start (claims->store, part, revision, on_loaded, load);
  g_hash_table_insert (claims->loads, &load->part, load);
}

void
hs_claims_drop (HsClaims *claims, uint32_t part)
{
  cancel_load (claims, part);
  hs_claim_log_drop (claims->log, part);
}

void
hs_claims_add (HsClaims *claims,
               uint32_t part,
               int64_t revision,
               const char *customer,
               const char *id,
               const char *digest,
               const HsNow *now,
               HsClaimDone done,
               void *arg)
{
  hs_claim_log_add (claims->log, part, revision, customer, id, digest, now,
                    done, arg);
  pump (claims, now);
}

size_t
hs_claims_waiting (const HsClaims *claims, uint32_t part)
{
  return hs_claim_log_waiting (claims->log, part);
}

static int
free_claims (HsClaims *claims)
{
  GHashTableIter iter;
  void *load;

  if (claims->write != NULL)
    claims->write->claims = NULL;
  g_hash_table_iter_init (&iter, claims->loads);
  while (g_hash_table_iter_next (&iter, NULL, &load))
    hs_claim_load_cancel (((Load *) load)->load);
  g_hash_table_destroy (claims->loads);
  return 0;
}

static void
cancel_load (HsClaims *claims, uint32_t part)
{
  Load *load = g_hash_table_lookup (claims->loads, &part);

  if (load == NULL)
    return;
  g_hash_table_remove (claims->loads, &part);
  hs_claim_load_cancel (load->load);
  talloc_free (load);
}

static void
on_loaded (void *arg, const HsClaimLoad *read, bool complete)
{
  Load *load = arg;
  HsClaims *claims = load->claims;
  HsNow now = hs_now ();
  uint64_t next_number = 1;
  size_t i;

  if (read->n_keys > 0)
    next_number = read->keys[read->n_keys - 1].number + 1;
  g_hash_table_remove (claims->loads, &load->part);
  if (complete)
    {
      hs_claim_log_open (claims->log, load->part, load->revision, next_number);
      for (i = 0; i < read->n_keys; i++)
        hs_claim_log_add_key (claims->log, load->part, read->keys[i].number,
                              read->keys[i].wall_ms);
      pump (claims, &now);
    }
  load->loaded (load->arg, load->part, complete, read->n_records,
                read->records);
  talloc_free (load);
}

static void
on_timer (struct tevent_context *ev,
          struct tevent_timer *te,
          struct timeval when,
          void *arg)
{
  HsClaims *claims = arg;
  HsNow now = hs_now ();

  (void) ev;
  (void) te;
  (void) when;
  TALLOC_FREE (claims->timer);
  pump (claims, &now);
}

/* Sends the next write, or waits until there is one. */
static void
pump (HsClaims *claims, const HsNow *now)
{
  const HsStoreTxn *txn = hs_claim_log_next (claims->log, now);
  HsTime wake;

  if (txn != NULL)
    {
      claims->write = talloc_zero (claims->store, Write);
      claims->write->claims = claims;
      hs_store_txn (claims->store, txn, on_written, claims->write);
    }
  TALLOC_FREE (claims->timer);
  wake = hs_claim_log_wake (claims->log, now);
  if (wake == HS_NEVER)
    return;
  wake = MAX (wake - now->mono, 0);
  claims->timer = tevent_add_timer (
      claims->ev, claims,
      tevent_timeval_current_ofs (wake / HS_SEC, wake % HS_SEC), on_timer,
      claims);
}

static void
on_written (void *arg, const HsStoreReply *reply)
{
  Write *write = arg;
  HsClaims *claims = write->claims;
  HsNow now = hs_now ();

  talloc_free (write);
  if (claims == NULL)
    return;
  claims->write = NULL;
  hs_claim_log_answer (claims->log, reply, &now);
  pump (claims, &now);
}
