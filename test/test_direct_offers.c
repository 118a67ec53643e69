/* Who is offered the room that comes free. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/offers.h"

#define T0 (100 * HS_SEC)

static HsOffers offers;

static int
setup (void **state)
{
  (void) state;
  memset (&offers, 0, sizeof offers);
  return 0;
}

static void
want (uint32_t peer, uint64_t rank, unsigned int tasks, HsTime answers)
{
  hsx_want w = { rank, { 1000, 10, 0 }, tasks };

  hs_offers_want (&offers, peer, &w, answers);
}

static hsx_room
room (unsigned int cpu_milli)
{
  return (hsx_room){ cpu_milli, 1000, 0 };
}

static void
the_highest_rank_is_offered_the_room_alone (void **state)
{
  hsx_room free = room (1500);

  (void) state;
  want (0, 5, 1, 0);
  want (1, 9, 1, 0);
  want (2, 7, 1, 0);
  assert_int_equal (hs_offers_next (&offers, &free, T0), 1);
  assert_int_equal (hs_offers_next (&offers, &free, T0), HS_OFFERS_PEERS);
  assert_int_equal (hs_offers_room (&offers, 1, &free, T0).cpu_milli, 1000);
  assert_int_equal (hs_offers_room (&offers, 2, &free, T0).cpu_milli, 500);
}

static void
what_the_first_does_not_need_goes_to_the_next (void **state)
{
  hsx_room free = room (4000);

  (void) state;
  want (0, 5, 9, 0);
  want (1, 9, 2, 0);
  assert_int_equal (hs_offers_next (&offers, &free, T0), 1);
  assert_int_equal (hs_offers_next (&offers, &free, T0), 0);
  assert_int_equal (hs_offers_room (&offers, 0, &free, T0).cpu_milli, 2000);
}

static void
an_answer_frees_what_was_not_used (void **state)
{
  hsx_room free = room (1000);

  (void) state;
  want (0, 9, 1, 0);
  want (1, 5, 1, 0);
  assert_int_equal (hs_offers_next (&offers, &free, T0), 0);
  /* These orders were sent before the offer came. */
  want (0, 9, 1, T0 - 1);
  assert_int_equal (hs_offers_next (&offers, &free, T0 + 1), HS_OFFERS_PEERS);
  want (0, 0, 0, T0);
  assert_int_equal (hs_offers_next (&offers, &free, T0 + 2), 1);
}

static void
an_offer_without_an_answer_lapses (void **state)
{
  hsx_room free = room (1000);
  HsTime due;

  (void) state;
  want (0, 9, 1, 0);
  want (1, 5, 1, 0);
  hs_offers_next (&offers, &free, T0);
  due = hs_offers_due (&offers, T0);
  assert_in_range (due - T0, 5 * HS_MSEC, 50 * HS_MSEC);
  hs_offers_drop (&offers, 0);
  assert_int_equal (hs_offers_next (&offers, &free, due), 1);
}

static void
what_is_used_is_no_longer_offered (void **state)
{
  hsx_room free = room (2000);

  (void) state;
  want (0, 9, 2, 0);
  hs_offers_next (&offers, &free, T0);
  hs_offers_use (&offers, 0, &(hsx_room){ 1000, 10, 0 });
  free = room (1000);
  assert_int_equal (hs_offers_room (&offers, 0, &free, T0).cpu_milli, 1000);
  assert_int_equal (hs_offers_room (&offers, 1, &free, T0).cpu_milli, 0);
}

static void
nobody_is_offered_less_than_a_task_needs (void **state)
{
  hsx_room free = room (900);

  (void) state;
  want (0, 9, 1, 0);
  assert_int_equal (hs_offers_next (&offers, &free, T0), HS_OFFERS_PEERS);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup (f, setup)
  const struct CMUnitTest tests[] = {
    TEST (the_highest_rank_is_offered_the_room_alone),
    TEST (what_the_first_does_not_need_goes_to_the_next),
    TEST (an_answer_frees_what_was_not_used),
    TEST (an_offer_without_an_answer_lapses),
    TEST (what_is_used_is_no_longer_offered),
    TEST (nobody_is_offered_less_than_a_task_needs),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
