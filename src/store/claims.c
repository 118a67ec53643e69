#include "store/claims.h"

#include "store/claim_load.h"

/* A transaction that waits for its reply. It is owned by the store, since the
   reply may come after the claims were freed. */
typedef struct
{
  HsClaims *claims; /* NULL: freed. */
} InFlightTxn;

/* The loading of a partition. */
typedef struct
{
  HsClaims *claims;
  HsClaimLoad *reader;
  uint32_t part;
  int64_t revision;
  HsClaimsLoadedFunc loaded;
  void *arg;
} PartLoad;

struct HsClaims
{
  struct tevent_context *ev;
  HsStore *store;
  HsClaimLog *log;
  InFlightTxn *in_flight; /* NULL: none. */
  GHashTable *loads;      /* uint32_t * to PartLoad *. */
  struct tevent_timer *timer;
};

static int free_claims (HsClaims *claims);
static void cancel_load (HsClaims *claims, uint32_t part);
static void on_loaded (void *arg, const HsClaimLoad *load, bool complete);
static void send_next_txn (HsClaims *claims, const HsNow *now);
static void on_txn_reply (void *arg, const HsStoreReply *reply);

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
hs_claims_load_part (HsClaims *claims,
                     uint32_t part,
                     int64_t revision,
                     HsClaimsLoadedFunc loaded,
                     void *arg)
{
  PartLoad *load = talloc_zero (claims, PartLoad);

  cancel_load (claims, part);
  hs_claim_log_close_part (claims->log, part);
  load->claims = claims;
  load->part = part;
  load->revision = revision;
  load->loaded = loaded;
  load->arg = arg;
  load->reader
      = hs_claim_load_start (claims->store, part, revision, on_loaded, load);
  g_hash_table_insert (claims->loads, &load->part, load);
}

void
hs_claims_close_part (HsClaims *claims, uint32_t part)
{
  cancel_load (claims, part);
  hs_claim_log_close_part (claims->log, part);
}

void
hs_claims_add (HsClaims *claims,
               uint32_t part,
               int64_t revision,
               const char *customer,
               const char *id,
               const char *digest,
               const HsNow *now,
               HsClaimDoneFunc done,
               void *arg)
{
  hs_claim_log_add (claims->log, part, revision, customer, id, digest, now,
                    done, arg);
  send_next_txn (claims, now);
}

size_t
hs_claims_n_pending (const HsClaims *claims, uint32_t part)
{
  return hs_claim_log_n_pending (claims->log, part);
}

static int
free_claims (HsClaims *claims)
{
  GHashTableIter iter;
  void *load;

  if (claims->in_flight != NULL)
    claims->in_flight->claims = NULL;
  g_hash_table_iter_init (&iter, claims->loads);
  while (g_hash_table_iter_next (&iter, NULL, &load))
    hs_claim_load_cancel (((PartLoad *) load)->reader);
  g_hash_table_destroy (claims->loads);
  return 0;
}

static void
cancel_load (HsClaims *claims, uint32_t part)
{
  PartLoad *load = g_hash_table_lookup (claims->loads, &part);

  if (load == NULL)
    return;
  g_hash_table_remove (claims->loads, &part);
  hs_claim_load_cancel (load->reader);
  talloc_free (load);
}

static void
on_loaded (void *arg, const HsClaimLoad *read, bool complete)
{
  PartLoad *load = arg;
  HsClaims *claims = load->claims;
  HsNow now = hs_now ();
  uint64_t next_key_number = 1;
  size_t i;

  if (read->n_keys > 0)
    next_key_number = read->keys[read->n_keys - 1].number + 1;
  g_hash_table_remove (claims->loads, &load->part);
  if (complete)
    {
      hs_claim_log_open_part (claims->log, load->part, load->revision,
                              next_key_number);
      for (i = 0; i < read->n_keys; i++)
        hs_claim_log_add_key (claims->log, load->part, read->keys[i].number,
                              read->keys[i].wall_ms);
      send_next_txn (claims, &now);
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
  send_next_txn (claims, &now);
}

/* Sends the next transaction, if it is due, and sets the timer. */
static void
send_next_txn (HsClaims *claims, const HsNow *now)
{
  const HsStoreTxn *txn = hs_claim_log_next_txn (claims->log, now);
  HsTime wakeup;

  if (txn != NULL)
    {
      claims->in_flight = talloc_zero (claims->store, InFlightTxn);
      claims->in_flight->claims = claims;
      hs_store_txn (claims->store, txn, on_txn_reply, claims->in_flight);
    }
  TALLOC_FREE (claims->timer);
  wakeup = hs_claim_log_next_wakeup (claims->log, now);
  if (wakeup == HS_NEVER)
    return;
  wakeup = MAX (wakeup - now->mono, 0);
  claims->timer = tevent_add_timer (
      claims->ev, claims,
      tevent_timeval_current_ofs (wakeup / HS_SEC, wakeup % HS_SEC), on_timer,
      claims);
}

static void
on_txn_reply (void *arg, const HsStoreReply *reply)
{
  InFlightTxn *in_flight = arg;
  HsClaims *claims = in_flight->claims;
  HsNow now = hs_now ();

  talloc_free (in_flight);
  if (claims == NULL)
    return;
  claims->in_flight = NULL;
  hs_claim_log_handle_reply (claims->log, reply, &now);
  send_next_txn (claims, &now);
}
