/* The promises beside a random walk of the steps of model/promises.pml, with
   fake time and fixed seeds. A small reference, written from the rules of the
   model, is compared after each step, and the model's safety property is
   asserted. */
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

/* The lease as entry/keeper.c counts it. */
#define TTL (10 * HS_SEC)
#define LEASE_HELD (9 * HS_SEC)
#define PATIENCE (TTL / 3)

enum
{
  A,
  B,
  X,
  ENTRIES,
  GONE = 9 /* An owner whose process is gone. */
};

/* What the model says of one entry other than A. */
typedef struct
{
  bool alive;
  bool registered;
  bool up;
  bool needed; /* A's view. */
  HsTime known_at;
  HsTime held;
  bool met; /* Its own view. */
  HsTime recorded_at;
  HsTime given;
  bool missed;
  HsTime absent;
  HsTime answered;
  bool unsettled;
  bool late;
  HsTime ask; /* Message under way: when its question was sent; 0: none. */
  HsTime reply;
  HsTime greet;
  HsTime greeted;
} Entry;

typedef struct
{
  HsTime now;
  HsPromises *code[ENTRIES];
  Entry entries[ENTRIES];
  uint32_t owner;
  HsTime expiry; /* Of A's key at the store; 0: its record is gone. */
  bool a_up;
  bool cut; /* X and A can't connect. */
  bool owning;
  HsTime lease;
  HsTime answered; /* By the store, to A. */
  HsTime renewal;
  bool renewed;
} World;

/* What the walks reached; each must not be zero. */
static struct
{
  uint32_t extended_past_key;
  uint32_t given;
  uint32_t refused;
  uint32_t taken;
  uint32_t taken_late;
  uint32_t forgotten;
  uint32_t still_needed;
  uint32_t unknown_waited;
  uint32_t kept;
} reached;

static Prng walk;

static void start_world (World *w, TALLOC_CTX *ctx);
static void step (World *w);
static void fault (World *w);
static void owner_step (World *w);
static void other_step (World *w, uint32_t i);
static void long_outage (World *w);
static void quiet_time (World *w);
static void store_answered (World *w);
static void exchange (World *w, uint32_t i);
static void take_reply (World *w, uint32_t i);
static void forget (World *w, uint32_t i, HsTime read_at);
static void give (World *w, uint32_t i);
static void take (World *w, uint32_t i);
static void hear (World *w, uint32_t i);
static void take_now (World *w, uint32_t i);
static HsTime extended (const World *w);
static bool may_start (const World *w);
static bool promise_stands (const World *w, uint32_t i);

static void
nobody_takes_while_the_owner_may_start (void **state)
{
  uint32_t seed;
  uint32_t i;

  (void) state;
  for (seed = 0; seed < WALKS; seed++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      World w;

      walk = prng_seeded (seed);
      start_world (&w, ctx);
      for (i = 0; i < STEPS && w.owning; i++)
        {
          step (&w);
          assert_int_equal (hs_promises_extended (w.code[A]), extended (&w));
          assert_false (w.owner != A && w.entries[w.owner].alive
                        && may_start (&w));
          if (may_start (&w) && w.expiry == 0)
            reached.extended_past_key++;
        }
      talloc_free (ctx);
    }
  assert_true (reached.extended_past_key > 0);
  assert_true (reached.given > 0);
  assert_true (reached.refused > 0);
  assert_true (reached.taken > 0);
  assert_true (reached.taken_late > 0);
  assert_true (reached.forgotten > 0);
  assert_true (reached.still_needed > 0);
  assert_true (reached.unknown_waited > 0);
  assert_true (reached.kept > 0);
}

static void
start_world (World *w, TALLOC_CTX *ctx)
{
  uint32_t i;

  memset (w, 0, sizeof *w);
  w->now = T0;
  w->a_up = true;
  w->owning = true;
  w->owner = A;
  w->expiry = T0 + TTL;
  w->lease = T0 + LEASE_HELD;
  w->answered = T0;
  for (i = 0; i < ENTRIES; i++)
    {
      w->code[i] = hs_promises_new (ctx);
      w->entries[i] = (Entry){ .alive = true, .up = true, .answered = T0 };
    }
  w->entries[B].registered = true;
  w->entries[B].needed = true;
  w->entries[B].known_at = T0;
  w->entries[B].met = true;
  w->cut = prng_below (&walk, 2) == 0;
  /* Half of the walks begin with an outage that X doesn't see. */
  if (prng_below (&walk, 2) == 0)
    w->a_up = w->entries[B].up = false;
  hs_promises_store_answered (w->code[A], T0);
  hs_promises_peer (w->code[A], B, T0);
  hs_promises_met (w->code[B], A, T0);
}

static void
step (World *w)
{
  uint32_t kind = prng_below (&walk, 40);

  if (kind == 0 && prng_below (&walk, 2) == 0)
    fault (w);
  else if (kind < 6)
    w->now
        += (HsTime) prng_below (&walk, prng_below (&walk, 8) == 0 ? 3000 : 200)
           * HS_MSEC;
  else if (kind == 6 && prng_below (&walk, 8) == 0 && w->expiry == 0)
    long_outage (w);
  else if (kind == 6 && prng_below (&walk, 8) == 0)
    quiet_time (w);
  else if (kind < 20)
    owner_step (w);
  else
    other_step (w, kind < 30 ? B : X);
  if (w->expiry <= w->now)
    w->expiry = 0;
}

static void
fault (World *w)
{
  uint32_t i = B + prng_below (&walk, 2);
  Entry *e = &w->entries[i];

  switch (prng_below (&walk, 8))
    {
    case 0:
    case 1:
      w->a_up = !w->a_up;
      return;
    case 2:
    case 3:
      e->up = !e->up;
      return;
    case 4:
    case 5:
      w->a_up = !w->a_up;
      w->entries[B].up = w->a_up;
      w->entries[X].up = w->a_up;
      return;
    case 6:
      e->alive = prng_below (&walk, 4) != 0;
      return;
    case 7:
      /* Its lease lapsed, which makes its late write fail. */
      e->registered = false;
      e->late = false;
      e->unsettled = false;
      return;
    }
}

/* A's steps, those of the store for it included. */
static void
owner_step (World *w)
{
  uint32_t i = B + prng_below (&walk, 2);
  Entry *e = &w->entries[i];

  switch (prng_below (&walk, 9))
    {
    case 0:
      if (w->a_up && w->renewal == 0)
        {
          w->renewal = w->now;
          w->renewed = false;
        }
      return;
    case 1:
      if (w->renewal == 0 || w->renewed || w->expiry == 0)
        return;
      w->expiry = w->now + TTL;
      w->renewed = true;
      return;
    case 2:
      if (w->renewal != 0 && w->renewed && w->a_up)
        {
          store_answered (w);
          w->lease = w->renewal + LEASE_HELD;
        }
      w->renewal = 0;
      return;
    case 3:
      /* A lapsed lease is granted anew, then all is read. */
      if (!may_start (w) || !w->a_up || w->expiry != 0)
        return;
      w->expiry = w->now + TTL;
      w->owning = w->owner == A;
      store_answered (w);
      for (i = B; i <= X; i++)
        if (w->entries[i].registered)
          {
            w->entries[i].needed = true;
            w->entries[i].known_at = w->now;
            hs_promises_peer (w->code[A], i, w->now);
          }
      return;
    case 4:
      w->owning = may_start (w) && !(w->a_up && w->owner != A);
      return;
    case 5:
      /* The watch, or a connection that breaks. */
      if (w->a_up && e->registered && !e->needed)
        {
          e->needed = true;
          e->known_at = w->now;
          hs_promises_peer (w->code[A], i, w->now);
        }
      else if (may_start (w) && w->a_up && !e->registered)
        forget (w, i, w->now + 1 - (HsTime) prng_below (&walk, 3) * HS_SEC);
      else if (may_start (w) && !e->alive)
        forget (w, i, HS_NEVER);
      return;
    case 6:
      if (!may_start (w) || w->now - w->answered < PATIENCE)
        return;
      while ((i = (uint32_t) hs_promises_next (w->code[A], w->now)) != 0)
        {
          assert_true (w->entries[i].needed);
          w->entries[i].ask = w->now;
          if (prng_below (&walk, 4) != 0)
            exchange (w, i);
        }
      return;
    case 7:
      take_reply (w, i);
      return;
    case 8:
      if (e->greet == 0)
        return;
      e->needed = true;
      e->known_at = w->now;
      hs_promises_peer (w->code[A], i, w->now);
      e->greeted = e->greet;
      e->greet = 0;
      return;
    }
}

static void
other_step (World *w, uint32_t i)
{
  Entry *e = &w->entries[i];

  if (!e->alive && prng_below (&walk, 2) == 0 && e->late)
    take_now (w, i);
  if (!e->alive)
    return;
  switch (prng_below (&walk, 8))
    {
    case 0:
      if (e->up)
        hear (w, i);
      return;
    case 1:
      if (!e->up || e->registered)
        return;
      e->registered = true;
      e->met = false;
      e->recorded_at = w->now;
      e->missed = false;
      e->absent = 0;
      hs_promises_unknown_to_all (w->code[i], w->now);
      hear (w, i);
      return;
    case 2:
      if (e->registered && e->greet == 0 && !(w->cut && i == X))
        e->greet = w->now;
      return;
    case 3:
      if (e->greeted == 0)
        return;
      e->met |= e->greeted >= e->recorded_at;
      hs_promises_met (w->code[i], A, e->greeted);
      e->greeted = 0;
      return;
    case 4:
      if (e->ask != 0)
        give (w, i);
      return;
    case 5:
      /* What any dead entry left is taken no sooner. */
      hs_promises_gone (w->code[i], GONE);
      assert_int_equal (hs_promises_may_take (w->code[i], GONE, w->now),
                        !promise_stands (w, i));
      take (w, i);
      return;
    case 6:
      if (e->late)
        take_now (w, i);
      return;
    case 7:
      /* The own record written anew makes the late write fail. */
      if (!e->unsettled || !e->up)
        return;
      e->late = e->unsettled = false;
      hear (w, i);
      return;
    }
}

/* A asks on, and all who can promise do, up to the longest extension; then A
   is paused. */
static void
long_outage (World *w)
{
  HsTime end = w->now + 2 * HS_PROMISE_OUTAGE_MAX;
  uint32_t i;

  while (may_start (w) && w->now < end)
    {
      w->now += HS_SEC;
      for (i = B; i <= X; i++)
        if (may_start (w) && w->entries[i].needed)
          {
            w->entries[i].ask = w->now;
            exchange (w, i);
          }
    }
  w->now += (HsTime) prng_below (&walk, 20) * HS_SEC;
}

/* The store answers each renewal of A. */
static void
quiet_time (World *w)
{
  if (!w->a_up || !may_start (w) || w->owner != A)
    return;
  w->now += (HsTime) prng_below (&walk, 2 * 600) * HS_SEC;
  w->expiry = w->now + TTL;
  store_answered (w);
}

/* A new lease has been granted or the one held was renewed just now. */
static void
store_answered (World *w)
{
  w->lease = w->now + LEASE_HELD;
  w->answered = w->now;
  w->entries[B].held = w->entries[X].held = 0;
  hs_promises_store_answered (w->code[A], w->now);
}

/* A question and its answer without delay. */
static void
exchange (World *w, uint32_t i)
{
  if (!w->entries[i].alive)
    return;
  give (w, i);
  take_reply (w, i);
}

static void
take_reply (World *w, uint32_t i)
{
  Entry *e = &w->entries[i];

  if (e->reply != 0 && may_start (w))
    {
      if (e->reply >= w->answered && e->reply + HS_PROMISE_HELD > e->held)
        e->held = e->reply + HS_PROMISE_HELD;
      hs_promises_answered (w->code[A], i, true, e->reply);
    }
  e->reply = 0;
}

static void
forget (World *w, uint32_t i, HsTime read_at)
{
  Entry *e = &w->entries[i];
  bool gone = !e->needed || e->known_at < read_at;

  assert_int_equal (hs_promises_forget (w->code[A], i, read_at), gone);
  if (gone)
    {
      e->needed = false;
      reached.forgotten++;
    }
  else
    reached.still_needed++;
}

static void
give (World *w, uint32_t i)
{
  Entry *e = &w->entries[i];
  bool store_up = w->now - e->answered < PATIENCE;
  bool given = !store_up && !e->unsettled;

  assert_int_equal (hs_promises_give (w->code[i], A, HS_PROMISE_SPAN, store_up,
                                      !e->unsettled, w->now),
                    given);
  if (given)
    {
      e->given = w->now + HS_PROMISE_SPAN;
      e->reply = e->ask;
      reached.given++;
    }
  else
    reached.refused++;
  e->ask = 0;
}

/* Takes from A, or from the other entry, which took it from A and died. */
static void
take (World *w, uint32_t i)
{
  Entry *e = &w->entries[i];
  uint32_t from = w->owner;
  bool may;

  if (!e->registered || !e->up || !e->missed || e->unsettled || from == i)
    return;
  if (from != A)
    {
      if (w->entries[from].alive)
        return;
      hs_promises_gone (w->code[i], from);
      may = !promise_stands (w, i);
    }
  else
    {
      if (e->absent == 0)
        e->absent = w->now;
      may = !promise_stands (w, i)
            && (e->met || w->now - e->absent > HS_PROMISE_OUTAGE_MAX);
      reached.unknown_waited += may && !e->met;
    }
  reached.kept += promise_stands (w, i);
  assert_int_equal (hs_promises_may_take (w->code[i], from, w->now), may);
  if (!may)
    return;
  e->unsettled = e->late = true;
  if (prng_below (&walk, 2) == 0)
    {
      e->unsettled = false;
      take_now (w, i);
    }
}

static void
hear (World *w, uint32_t i)
{
  Entry *e = &w->entries[i];

  e->answered = w->now;
  e->missed = w->expiry == 0;
  if (e->missed)
    return;
  e->absent = 0;
  hs_promises_peer (w->code[i], A, w->now);
}

/* The transaction of a take arrives at the store. */
static void
take_now (World *w, uint32_t i)
{
  Entry *e = &w->entries[i];
  bool from_dead
      = w->owner != A && w->owner != i && !w->entries[w->owner].alive;

  e->late = false;
  if (w->expiry != 0 || (w->owner != A && !from_dead))
    return;
  w->owner = i;
  if (e->unsettled)
    reached.taken_late++;
  else
    reached.taken++;
  assert_false (e->alive && may_start (w));
}

static HsTime
extended (const World *w)
{
  HsTime until = HS_NEVER;
  uint32_t i;

  for (i = B; i <= X; i++)
    if (w->entries[i].needed && w->entries[i].held < until)
      until = w->entries[i].held;
  if (until == HS_NEVER || until == 0)
    return 0;
  if (until > w->answered + HS_PROMISE_OUTAGE_MAX)
    until = w->answered + HS_PROMISE_OUTAGE_MAX;
  return until;
}

/* The code's own answer counts, not that of the reference. */
static bool
may_start (const World *w)
{
  return w->owning
         && (w->now < w->lease || w->now < hs_promises_extended (w->code[A]));
}

static bool
promise_stands (const World *w, uint32_t i)
{
  return w->now < w->entries[i].given;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (nobody_takes_while_the_owner_may_start),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
