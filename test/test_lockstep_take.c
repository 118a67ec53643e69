/* Who may take an owner's partitions, beside random sequences of what an entry
   learns of two owners over long times, which the walk of test_lockstep.c
   seldom reaches. The reference is written from KNOWN and KEPT of
   model/promises.pml. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "entry/promises.h"
#include "prng.h"

#define T0 (100 * HS_SEC)
#define WALKS 2000
#define STEPS 300
#define OWNERS 2

typedef struct
{
  HsTime absent;
  HsTime given;
  bool met;
} Owner;

static Prng walk;
static uint32_t taken;
static uint32_t waited;

static void step (HsPromises *code, Owner *owners, HsTime *now, HsTime *wrote);
static void
compare_take (HsPromises *code, Owner *owners, uint32_t i, HsTime now);

static void
an_owner_is_taken_from_as_the_model_has_it (void **state)
{
  uint32_t seed;
  uint32_t i;

  (void) state;
  for (seed = 0; seed < WALKS; seed++)
    {
      HsPromises *code = hs_promises_new (NULL);
      Owner owners[OWNERS];
      HsTime now = T0;
      HsTime wrote = 0;

      walk = prng_seeded (seed);
      memset (owners, 0, sizeof owners);
      for (i = 0; i < STEPS; i++)
        step (code, owners, &now, &wrote);
      talloc_free (code);
    }
  assert_true (taken > 0);
  assert_true (waited > 0);
}

static void
step (HsPromises *code, Owner *owners, HsTime *now, HsTime *wrote)
{
  uint32_t i = prng_below (&walk, OWNERS);
  HsTime sent = *now - (HsTime) prng_below (&walk, 2000) * HS_MSEC;
  uint32_t k;

  switch (prng_below (&walk, 10))
    {
    case 0:
      *now += (HsTime) prng_below (&walk, 400) * HS_SEC;
      return;
    case 1:
      *now += (HsTime) prng_below (&walk, 2000) * HS_MSEC;
      return;
    case 2:
      /* The record of that owner is back. */
      hs_promises_peer (code, i + 1, *now);
      owners[i].absent = 0;
      return;
    case 3:
      if (prng_below (&walk, 4) != 0)
        return;
      hs_promises_unknown_to_all (code, *now);
      *wrote = *now;
      for (k = 0; k < OWNERS; k++)
        owners[k].absent = owners[k].met = 0;
      return;
    case 4:
      if (prng_below (&walk, 4) != 0)
        return;
      hs_promises_met (code, i + 1, sent);
      owners[i].met |= sent >= *wrote;
      return;
    case 5:
      assert_true (
          hs_promises_give (code, i + 1, HS_PROMISE_SPAN, false, true, *now));
      owners[i].given = *now + HS_PROMISE_SPAN;
      return;
    default:
      compare_take (code, owners, i, *now);
      return;
    }
}

static void
compare_take (HsPromises *code, Owner *owners, uint32_t i, HsTime now)
{
  Owner *owner = &owners[i];
  bool kept = now >= owners[0].given && now >= owners[1].given;
  bool long_absent;
  bool may;

  if (owner->absent == 0)
    owner->absent = now;
  long_absent = now - owner->absent > HS_PROMISE_OUTAGE_MAX;
  may = kept && (owner->met || long_absent);
  assert_int_equal (hs_promises_may_take (code, i + 1, now), may);
  taken += may;
  waited += may && !owner->met;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (an_owner_is_taken_from_as_the_model_has_it),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
