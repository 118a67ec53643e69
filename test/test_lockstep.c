/* Runs random walks over the steps of model/promises.pml on the promises of
   three entries, with fake time and fixed seeds. After each step the results
   are compared with a small reference, written from the rules of the model, and
   the model's safety property is checked: no live entry takes over a partition
   while its owner may start tasks. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "entry/promises.h"
#include "prng.h"

#define T0 (100 * HS_SEC)
#define WALKS 60000
#define STEPS 2000

/* As in entry/lease_manager_renewal.c and entry/lease_manager_promises.c. */
#define TTL (10 * HS_SEC)
#define LEASE_HELD (9 * HS_SEC)
#define STORE_TIMEOUT (TTL / 3)

enum
{
  A,
  B,
  X,
  ENTRIES,
  TERMINATED = 9 /* An owner whose process has terminated. */
};

/* The reference state of one entry other than A. */
typedef struct
{
  bool alive;
  bool registered;
  bool reaches_store;
  /* As A sees it. */
  bool required;
  HsTime last_known_at;
  HsTime received_until;
  /* As the entry itself sees it. */
  bool known_to_owner;
  HsTime own_record_written_at;
  HsTime given_until;
  bool owner_record_absent;
  HsTime absent_since;
  HsTime store_answered_at;
  bool takeover_unknown;
  bool takeover_in_flight;
  /* Messages in flight: when the request was sent; 0: no message. */
  HsTime request_sent;
  HsTime reply_request_sent;
  HsTime announcement_sent;
  HsTime announcement_reply;
} Entry;

typedef struct
{
  HsTime now;
  HsPromises *code[ENTRIES];
  Entry entries[ENTRIES];
  uint32_t owner;
  HsTime key_expiry; /* Of A's record at the store; 0: it has none. */
  bool owner_reaches_store;
  bool x_cut_off; /* X and A can't connect to each other. */
  bool owning;
  HsTime lease_until;
  HsTime store_answered_at; /* To A. */
  HsTime renewal_sent;
  bool renewal_applied;
} World;

/* Counts of the situations that the walks reached; none may be zero. */
static struct
{
  uint32_t extended_past_expiry;
  uint32_t promises_given;
  uint32_t promises_refused;
  uint32_t takeovers;
  uint32_t late_takeovers;
  uint32_t peers_removed;
  uint32_t peers_still_required;
  uint32_t takeovers_by_unknown_peer;
  uint32_t blocked_by_promise;
} reached;

static Prng walk;

static void init_world (World *w, TALLOC_CTX *ctx);
static void step (World *w);
static void inject_fault (World *w);
static void owner_step (World *w);
static void peer_step (World *w, uint32_t i);
static void long_outage (World *w);
static void healthy_period (World *w);
static void store_answered (World *w);
static void request_and_reply (World *w, uint32_t i);
static void handle_reply (World *w, uint32_t i);
static void remove_peer (World *w, uint32_t i, HsTime read_at);
static void answer_request (World *w, uint32_t i);
static void try_takeover (World *w, uint32_t i);
static void read_store (World *w, uint32_t i);
static void apply_takeover (World *w, uint32_t i);
static HsTime expected_extension (const World *w);
static bool may_start (const World *w);
static bool promise_given (const World *w, uint32_t i);

static void
no_takeover_while_the_owner_may_start (void **state)
{
  uint32_t seed;
  uint32_t i;

  (void) state;
  for (seed = 0; seed < WALKS; seed++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      World w;

      walk = prng_seeded (seed);
      init_world (&w, ctx);
      for (i = 0; i < STEPS && w.owning; i++)
        {
          step (&w);
          assert_int_equal (hs_promises_extended_until (w.code[A]),
                            expected_extension (&w));
          assert_false (w.owner != A && w.entries[w.owner].alive
                        && may_start (&w));
          if (may_start (&w) && w.key_expiry == 0)
            reached.extended_past_expiry++;
        }
      talloc_free (ctx);
    }
  assert_true (reached.extended_past_expiry > 0);
  assert_true (reached.promises_given > 0);
  assert_true (reached.promises_refused > 0);
  assert_true (reached.takeovers > 0);
  assert_true (reached.late_takeovers > 0);
  assert_true (reached.peers_removed > 0);
  assert_true (reached.peers_still_required > 0);
  assert_true (reached.takeovers_by_unknown_peer > 0);
  assert_true (reached.blocked_by_promise > 0);
}

static void
init_world (World *w, TALLOC_CTX *ctx)
{
  uint32_t i;

  memset (w, 0, sizeof *w);
  w->now = T0;
  w->owner_reaches_store = true;
  w->owning = true;
  w->owner = A;
  w->key_expiry = T0 + TTL;
  w->lease_until = T0 + LEASE_HELD;
  w->store_answered_at = T0;
  for (i = 0; i < ENTRIES; i++)
    {
      w->code[i] = hs_promises_new (ctx);
      w->entries[i] = (Entry){ .alive = true,
                               .reaches_store = true,
                               .store_answered_at = T0 };
    }
  w->entries[B].registered = true;
  w->entries[B].required = true;
  w->entries[B].last_known_at = T0;
  w->entries[B].known_to_owner = true;
  w->x_cut_off = prng_below (&walk, 2) == 0;
  /* Half of the walks begin with an outage that X isn't affected by. */
  if (prng_below (&walk, 2) == 0)
    w->owner_reaches_store = w->entries[B].reaches_store = false;
  hs_promises_store_answered (w->code[A], T0);
  hs_promises_add_peer (w->code[A], B, T0);
  hs_promises_set_known_to (w->code[B], A, T0);
}

static void
step (World *w)
{
  uint32_t kind = prng_below (&walk, 40);

  if (kind == 0 && prng_below (&walk, 2) == 0)
    inject_fault (w);
  else if (kind < 6)
    w->now
        += (HsTime) prng_below (&walk, prng_below (&walk, 8) == 0 ? 3000 : 200)
           * HS_MSEC;
  else if (kind == 6 && prng_below (&walk, 8) == 0 && w->key_expiry == 0)
    long_outage (w);
  else if (kind == 6 && prng_below (&walk, 8) == 0)
    healthy_period (w);
  else if (kind < 20)
    owner_step (w);
  else
    peer_step (w, kind < 30 ? B : X);
  if (w->key_expiry <= w->now)
    w->key_expiry = 0;
}

static void
inject_fault (World *w)
{
  uint32_t i = B + prng_below (&walk, 2);
  Entry *e = &w->entries[i];

  switch (prng_below (&walk, 8))
    {
    case 0:
    case 1:
      w->owner_reaches_store = !w->owner_reaches_store;
      return;
    case 2:
    case 3:
      e->reaches_store = !e->reaches_store;
      return;
    case 4:
    case 5:
      w->owner_reaches_store = !w->owner_reaches_store;
      w->entries[B].reaches_store = w->owner_reaches_store;
      w->entries[X].reaches_store = w->owner_reaches_store;
      return;
    case 6:
      e->alive = prng_below (&walk, 4) != 0;
      return;
    case 7:
      /* Its lease lapsed, so its takeover in flight will fail. */
      e->registered = false;
      e->takeover_in_flight = false;
      e->takeover_unknown = false;
      return;
    }
}

/* A step of A, or of the store for A. */
static void
owner_step (World *w)
{
  uint32_t i = B + prng_below (&walk, 2);
  Entry *e = &w->entries[i];

  switch (prng_below (&walk, 9))
    {
    case 0:
      if (w->owner_reaches_store && w->renewal_sent == 0)
        {
          w->renewal_sent = w->now;
          w->renewal_applied = false;
        }
      return;
    case 1:
      if (w->renewal_sent == 0 || w->renewal_applied || w->key_expiry == 0)
        return;
      w->key_expiry = w->now + TTL;
      w->renewal_applied = true;
      return;
    case 2:
      if (w->renewal_sent != 0 && w->renewal_applied && w->owner_reaches_store)
        {
          store_answered (w);
          w->lease_until = w->renewal_sent + LEASE_HELD;
        }
      w->renewal_sent = 0;
      return;
    case 3:
      /* A's lease lapsed: a new one is granted, then all records are read. */
      if (!may_start (w) || !w->owner_reaches_store || w->key_expiry != 0)
        return;
      w->key_expiry = w->now + TTL;
      w->owning = w->owner == A;
      store_answered (w);
      for (i = B; i <= X; i++)
        if (w->entries[i].registered)
          {
            w->entries[i].required = true;
            w->entries[i].last_known_at = w->now;
            hs_promises_add_peer (w->code[A], i, w->now);
          }
      return;
    case 4:
      w->owning = may_start (w) && !(w->owner_reaches_store && w->owner != A);
      return;
    case 5:
      /* A watch event, or the loss of a connection. */
      if (w->owner_reaches_store && e->registered && !e->required)
        {
          e->required = true;
          e->last_known_at = w->now;
          hs_promises_add_peer (w->code[A], i, w->now);
        }
      else if (may_start (w) && w->owner_reaches_store && !e->registered)
        remove_peer (w, i,
                     w->now + 1 - (HsTime) prng_below (&walk, 3) * HS_SEC);
      else if (may_start (w) && !e->alive)
        remove_peer (w, i, HS_NEVER);
      return;
    case 6:
      if (!may_start (w) || w->now - w->store_answered_at < STORE_TIMEOUT)
        return;
      while ((i = (uint32_t) hs_promises_next_request (w->code[A], w->now))
             != 0)
        {
          assert_true (w->entries[i].required);
          w->entries[i].request_sent = w->now;
          if (prng_below (&walk, 4) != 0)
            request_and_reply (w, i);
        }
      return;
    case 7:
      handle_reply (w, i);
      return;
    case 8:
      if (e->announcement_sent == 0)
        return;
      e->required = true;
      e->last_known_at = w->now;
      hs_promises_add_peer (w->code[A], i, w->now);
      e->announcement_reply = e->announcement_sent;
      e->announcement_sent = 0;
      return;
    }
}

static void
peer_step (World *w, uint32_t i)
{
  Entry *e = &w->entries[i];

  if (!e->alive && prng_below (&walk, 2) == 0 && e->takeover_in_flight)
    apply_takeover (w, i);
  if (!e->alive)
    return;
  switch (prng_below (&walk, 8))
    {
    case 0:
      if (e->reaches_store)
        read_store (w, i);
      return;
    case 1:
      if (!e->reaches_store || e->registered)
        return;
      e->registered = true;
      e->known_to_owner = false;
      e->own_record_written_at = w->now;
      e->owner_record_absent = false;
      e->absent_since = 0;
      hs_promises_own_record_written (w->code[i], w->now);
      read_store (w, i);
      return;
    case 2:
      if (e->registered && e->announcement_sent == 0
          && !(w->x_cut_off && i == X))
        e->announcement_sent = w->now;
      return;
    case 3:
      if (e->announcement_reply == 0)
        return;
      e->known_to_owner |= e->announcement_reply >= e->own_record_written_at;
      hs_promises_set_known_to (w->code[i], A, e->announcement_reply);
      e->announcement_reply = 0;
      return;
    case 4:
      if (e->request_sent != 0)
        answer_request (w, i);
      return;
    case 5:
      /* A promise blocks the takeover from any other entry, too. */
      hs_promises_set_terminated (w->code[i], TERMINATED);
      assert_int_equal (
          hs_promises_may_take_over (w->code[i], TERMINATED, w->now),
          !promise_given (w, i));
      try_takeover (w, i);
      return;
    case 6:
      if (e->takeover_in_flight)
        apply_takeover (w, i);
      return;
    case 7:
      /* Writing its own record again makes the takeover in flight fail. */
      if (!e->takeover_unknown || !e->reaches_store)
        return;
      e->takeover_in_flight = e->takeover_unknown = false;
      read_store (w, i);
      return;
    }
}

/* A keeps requesting promises and gets each that can be given, up to the
   longest extension; then A is paused. */
static void
long_outage (World *w)
{
  HsTime end = w->now + 2 * HS_PROMISE_OUTAGE_MAX;
  uint32_t i;

  while (may_start (w) && w->now < end)
    {
      w->now += HS_SEC;
      for (i = B; i <= X; i++)
        if (may_start (w) && w->entries[i].required)
          {
            w->entries[i].request_sent = w->now;
            request_and_reply (w, i);
          }
    }
  w->now += (HsTime) prng_below (&walk, 20) * HS_SEC;
}

/* A long time in which the store answers each renewal of A. */
static void
healthy_period (World *w)
{
  if (!w->owner_reaches_store || !may_start (w) || w->owner != A)
    return;
  w->now += (HsTime) prng_below (&walk, 2 * 600) * HS_SEC;
  w->key_expiry = w->now + TTL;
  store_answered (w);
}

/* The store has granted or renewed A's lease. */
static void
store_answered (World *w)
{
  w->lease_until = w->now + LEASE_HELD;
  w->store_answered_at = w->now;
  w->entries[B].received_until = w->entries[X].received_until = 0;
  hs_promises_store_answered (w->code[A], w->now);
}

/* A promise request and its reply without delay. */
static void
request_and_reply (World *w, uint32_t i)
{
  if (!w->entries[i].alive)
    return;
  answer_request (w, i);
  handle_reply (w, i);
}

static void
handle_reply (World *w, uint32_t i)
{
  Entry *e = &w->entries[i];

  if (e->reply_request_sent != 0 && may_start (w))
    {
      if (e->reply_request_sent >= w->store_answered_at
          && e->reply_request_sent + HS_PROMISE_HOLDER_DURATION
                 > e->received_until)
        e->received_until = e->reply_request_sent + HS_PROMISE_HOLDER_DURATION;
      hs_promises_handle_reply (w->code[A], i, true, e->reply_request_sent);
    }
  e->reply_request_sent = 0;
}

static void
remove_peer (World *w, uint32_t i, HsTime read_at)
{
  Entry *e = &w->entries[i];
  bool gone = !e->required || e->last_known_at < read_at;

  assert_int_equal (hs_promises_remove_peer (w->code[A], i, read_at), gone);
  if (gone)
    {
      e->required = false;
      reached.peers_removed++;
    }
  else
    reached.peers_still_required++;
}

static void
answer_request (World *w, uint32_t i)
{
  Entry *e = &w->entries[i];
  bool store_up = w->now - e->store_answered_at < STORE_TIMEOUT;
  bool given = !store_up && !e->takeover_unknown;

  assert_int_equal (hs_promises_give (w->code[i], A, HS_PROMISE_DURATION,
                                      store_up, !e->takeover_unknown, w->now),
                    given);
  if (given)
    {
      e->given_until = w->now + HS_PROMISE_DURATION;
      e->reply_request_sent = e->request_sent;
      reached.promises_given++;
    }
  else
    reached.promises_refused++;
  e->request_sent = 0;
}

/* Takes the partition over from A, or from the other entry if that took it over
   from A and died. */
static void
try_takeover (World *w, uint32_t i)
{
  Entry *e = &w->entries[i];
  uint32_t from = w->owner;
  bool may;

  if (!e->registered || !e->reaches_store || !e->owner_record_absent
      || e->takeover_unknown || from == i)
    return;
  if (from != A)
    {
      if (w->entries[from].alive)
        return;
      hs_promises_set_terminated (w->code[i], from);
      may = !promise_given (w, i);
    }
  else
    {
      if (e->absent_since == 0)
        e->absent_since = w->now;
      may = !promise_given (w, i)
            && (e->known_to_owner
                || w->now - e->absent_since > HS_PROMISE_OUTAGE_MAX);
      reached.takeovers_by_unknown_peer += may && !e->known_to_owner;
    }
  reached.blocked_by_promise += promise_given (w, i);
  assert_int_equal (hs_promises_may_take_over (w->code[i], from, w->now), may);
  if (!may)
    return;
  e->takeover_unknown = e->takeover_in_flight = true;
  if (prng_below (&walk, 2) == 0)
    {
      e->takeover_unknown = false;
      apply_takeover (w, i);
    }
}

static void
read_store (World *w, uint32_t i)
{
  Entry *e = &w->entries[i];

  e->store_answered_at = w->now;
  e->owner_record_absent = w->key_expiry == 0;
  if (e->owner_record_absent)
    return;
  e->absent_since = 0;
  hs_promises_add_peer (w->code[i], A, w->now);
}

/* The store executes the transaction of a takeover. */
static void
apply_takeover (World *w, uint32_t i)
{
  Entry *e = &w->entries[i];
  bool from_dead
      = w->owner != A && w->owner != i && !w->entries[w->owner].alive;

  e->takeover_in_flight = false;
  if (w->key_expiry != 0 || (w->owner != A && !from_dead))
    return;
  w->owner = i;
  if (e->takeover_unknown)
    reached.late_takeovers++;
  else
    reached.takeovers++;
  assert_false (e->alive && may_start (w));
}

static HsTime
expected_extension (const World *w)
{
  HsTime until = HS_NEVER;
  uint32_t i;

  for (i = B; i <= X; i++)
    if (w->entries[i].required && w->entries[i].received_until < until)
      until = w->entries[i].received_until;
  if (until == HS_NEVER || until == 0)
    return 0;
  if (until > w->store_answered_at + HS_PROMISE_OUTAGE_MAX)
    until = w->store_answered_at + HS_PROMISE_OUTAGE_MAX;
  return until;
}

/* Uses the extension of the code, not that of the reference. */
static bool
may_start (const World *w)
{
  return w->owning
         && (w->now < w->lease_until
             || w->now < hs_promises_extended_until (w->code[A]));
}

static bool
promise_given (const World *w, uint32_t i)
{
  return w->now < w->entries[i].given_until;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (no_takeover_while_the_owner_may_start),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
