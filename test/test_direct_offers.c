/* To which entries free resources are offered. */
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
set_backlog (uint32_t entry,
             uint64_t rank,
             unsigned int tasks,
             HsTime report_time)
{
  hsx_want w = { rank, { 1000, 10, 0 }, tasks };

  hs_offers_set_backlog (&offers, entry, &w, report_time);
}

static hsx_room
resources (unsigned int cpu_milli)
{
  return (hsx_room){ cpu_milli, 1000, 0 };
}

static void
the_highest_rank_alone_gets_the_offer (void **state)
{
  hsx_room free = resources (1500);

  (void) state;
  set_backlog (0, 5, 1, 0);
  set_backlog (1, 9, 1, 0);
  set_backlog (2, 7, 1, 0);
  assert_int_equal (hs_offers_make_next (&offers, &free, T0), 1);
  assert_int_equal (hs_offers_make_next (&offers, &free, T0),
                    HS_OFFERS_ENTRIES_MAX);
  assert_int_equal (hs_offers_available (&offers, 1, &free, T0).cpu_milli,
                    1000);
  assert_int_equal (hs_offers_available (&offers, 2, &free, T0).cpu_milli, 500);
}

static void
the_remainder_is_offered_to_the_next_rank (void **state)
{
  hsx_room free = resources (4000);

  (void) state;
  set_backlog (0, 5, 9, 0);
  set_backlog (1, 9, 2, 0);
  assert_int_equal (hs_offers_make_next (&offers, &free, T0), 1);
  assert_int_equal (hs_offers_make_next (&offers, &free, T0), 0);
  assert_int_equal (hs_offers_available (&offers, 0, &free, T0).cpu_milli,
                    2000);
}

/* Guards against an entry with a long queue that is offered as little as those
   with a short one. */
static void
a_longer_queue_of_like_rank_goes_first (void **state)
{
  hsx_room free = resources (1000);

  (void) state;
  set_backlog (0, 10, 1, 0);
  set_backlog (1, 9, 16, 0);
  assert_int_equal (hs_offers_make_next (&offers, &free, T0), 1);
}

/* Guards against an entry with an endless queue that starves a calm one. */
static void
the_longest_queue_yields_to_a_much_higher_rank (void **state)
{
  hsx_room free = resources (1000);

  (void) state;
  set_backlog (0, 41, 1, 0);
  set_backlog (1, 10, UINT32_MAX, 0);
  assert_int_equal (hs_offers_make_next (&offers, &free, T0), 0);
}

static void
an_answer_releases_the_unused_part (void **state)
{
  hsx_room free = resources (1000);

  (void) state;
  set_backlog (0, 9, 1, 0);
  set_backlog (1, 5, 1, 0);
  assert_int_equal (hs_offers_make_next (&offers, &free, T0), 0);
  /* These orders were sent before the offer arrived. */
  set_backlog (0, 9, 1, T0 - 1);
  assert_int_equal (hs_offers_make_next (&offers, &free, T0 + 1),
                    HS_OFFERS_ENTRIES_MAX);
  set_backlog (0, 0, 0, T0);
  assert_int_equal (hs_offers_make_next (&offers, &free, T0 + 2), 1);
}

static void
an_unanswered_offer_expires (void **state)
{
  hsx_room free = resources (1000);
  HsTime due;

  (void) state;
  set_backlog (0, 9, 1, 0);
  set_backlog (1, 5, 1, 0);
  hs_offers_make_next (&offers, &free, T0);
  due = hs_offers_next_expiry (&offers, T0);
  assert_in_range (due - T0, 5 * HS_MSEC, 50 * HS_MSEC);
  hs_offers_remove_entry (&offers, 0);
  assert_int_equal (hs_offers_make_next (&offers, &free, due), 1);
}

static void
consumed_resources_leave_the_offer (void **state)
{
  hsx_room free = resources (2000);

  (void) state;
  set_backlog (0, 9, 2, 0);
  hs_offers_make_next (&offers, &free, T0);
  hs_offers_consume (&offers, 0, &(hsx_room){ 1000, 10, 0 });
  free = resources (1000);
  assert_int_equal (hs_offers_available (&offers, 0, &free, T0).cpu_milli,
                    1000);
  assert_int_equal (hs_offers_available (&offers, 1, &free, T0).cpu_milli, 0);
}

static void
no_offer_is_smaller_than_one_task (void **state)
{
  hsx_room free = resources (900);

  (void) state;
  set_backlog (0, 9, 1, 0);
  assert_int_equal (hs_offers_make_next (&offers, &free, T0),
                    HS_OFFERS_ENTRIES_MAX);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup (f, setup)
  const struct CMUnitTest tests[] = {
    TEST (the_highest_rank_alone_gets_the_offer),
    TEST (the_remainder_is_offered_to_the_next_rank),
    TEST (a_longer_queue_of_like_rank_goes_first),
    TEST (the_longest_queue_yields_to_a_much_higher_rank),
    TEST (an_answer_releases_the_unused_part),
    TEST (an_unanswered_offer_expires),
    TEST (consumed_resources_leave_the_offer),
    TEST (no_offer_is_smaller_than_one_task),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
