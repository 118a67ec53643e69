/* Compares hs_promises_may_take_over() with a reference, on random sequences of
   what an entry learns about two owners. The sequences span long times, which
   the walks of test_lockstep.c seldom reach. The reference follows KNOWN and
   PROMISE_OVER of model/promises.pml. */
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
  HsTime absent_since;
  HsTime given_until;
  bool known_to_owner;
} Owner;

static Prng walk;
static uint32_t n_allowed;
static uint32_t n_allowed_after_absence;

static void step (HsPromises *code,
                  Owner *owners,
                  HsTime *now,
                  HsTime *own_record_written_at);
static void
compare_takeover (HsPromises *code, Owner *owners, uint32_t i, HsTime now);

static void
takeovers_match_the_model (void **state)
{
  uint32_t seed;
  uint32_t i;

  (void) state;
  for (seed = 0; seed < WALKS; seed++)
    {
      HsPromises *code = hs_promises_new (NULL);
      Owner owners[OWNERS];
      HsTime now = T0;
      HsTime own_record_written_at = 0;

      walk = prng_seeded (seed);
      memset (owners, 0, sizeof owners);
      for (i = 0; i < STEPS; i++)
        step (code, owners, &now, &own_record_written_at);
      talloc_free (code);
    }
  assert_true (n_allowed > 0);
  assert_true (n_allowed_after_absence > 0);
}

static void
step (HsPromises *code,
      Owner *owners,
      HsTime *now,
      HsTime *own_record_written_at)
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
      /* The owner has a record again. */
      hs_promises_add_peer (code, i + 1, *now);
      owners[i].absent_since = 0;
      return;
    case 3:
      if (prng_below (&walk, 4) != 0)
        return;
      hs_promises_own_record_written (code, *now);
      *own_record_written_at = *now;
      for (k = 0; k < OWNERS; k++)
        owners[k].absent_since = owners[k].known_to_owner = 0;
      return;
    case 4:
      if (prng_below (&walk, 4) != 0)
        return;
      hs_promises_set_known_to (code, i + 1, sent);
      owners[i].known_to_owner |= sent >= *own_record_written_at;
      return;
    case 5:
      assert_true (hs_promises_give (code, i + 1, HS_PROMISE_DURATION, false,
                                     true, *now));
      owners[i].given_until = *now + HS_PROMISE_DURATION;
      return;
    default:
      compare_takeover (code, owners, i, *now);
      return;
    }
}

static void
compare_takeover (HsPromises *code, Owner *owners, uint32_t i, HsTime now)
{
  Owner *owner = &owners[i];
  bool no_promise_given
      = now >= owners[0].given_until && now >= owners[1].given_until;
  bool absent_long_enough;
  bool may;

  if (owner->absent_since == 0)
    owner->absent_since = now;
  absent_long_enough = now - owner->absent_since > HS_PROMISE_OUTAGE_MAX;
  may = no_promise_given && (owner->known_to_owner || absent_long_enough);
  assert_int_equal (hs_promises_may_take_over (code, i + 1, now), may);
  n_allowed += may;
  n_allowed_after_absence += may && !owner->known_to_owner;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (takeovers_match_the_model),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
