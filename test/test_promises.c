#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "entry/promises.h"

#define A UINT64_C (1)
#define B UINT64_C (2)
#define T0 (100 * HS_SEC)

static HsPromises *
owner_of_two_peers (void)
{
  HsPromises *p = hs_promises_new (NULL);

  hs_promises_store_answered (p, T0);
  hs_promises_peer (p, A, T0);
  hs_promises_peer (p, B, T0);
  return p;
}

static void
every_entry_must_promise (void **state)
{
  HsPromises *p = owner_of_two_peers ();

  (void) state;
  assert_int_equal (hs_promises_next (p, T0 + HS_SEC), A);
  assert_int_equal (hs_promises_next (p, T0 + HS_SEC), B);
  assert_int_equal (hs_promises_next (p, T0 + HS_SEC), 0);
  hs_promises_answered (p, A, true, T0 + HS_SEC);
  assert_int_equal (hs_promises_extended (p), 0);
  hs_promises_answered (p, B, false, T0 + HS_SEC);
  assert_int_equal (hs_promises_extended (p), 0);
  hs_promises_answered (p, B, true, T0 + 2 * HS_SEC);
  assert_int_equal (hs_promises_extended (p), T0 + HS_SEC + HS_PROMISE_HELD);
  talloc_free (p);
}

static void
alone_nothing_is_extended (void **state)
{
  HsPromises *p = owner_of_two_peers ();

  (void) state;
  hs_promises_answered (p, A, true, T0 + HS_SEC);
  hs_promises_answered (p, B, true, T0 + HS_SEC);
  assert_true (hs_promises_extended (p) > 0);
  hs_promises_forget (p, A, HS_NEVER);
  assert_true (hs_promises_extended (p) > 0);
  hs_promises_forget (p, B, HS_NEVER);
  assert_int_equal (hs_promises_extended (p), 0);
  talloc_free (p);
}

static void
a_new_entry_ends_the_extension (void **state)
{
  HsPromises *p = owner_of_two_peers ();

  (void) state;
  hs_promises_answered (p, A, true, T0 + HS_SEC);
  hs_promises_answered (p, B, true, T0 + HS_SEC);
  hs_promises_peer (p, 3, T0);
  assert_int_equal (hs_promises_extended (p), 0);
  talloc_free (p);
}

static void
answers_from_before_the_store_answered_are_void (void **state)
{
  HsPromises *p = owner_of_two_peers ();

  (void) state;
  hs_promises_answered (p, A, true, T0 + HS_SEC);
  hs_promises_store_answered (p, T0 + 2 * HS_SEC);
  hs_promises_answered (p, B, true, T0 + HS_SEC);
  assert_int_equal (hs_promises_extended (p), 0);
  talloc_free (p);
}

static void
an_outage_is_bridged_up_to_the_bound (void **state)
{
  HsPromises *p = owner_of_two_peers ();
  HsTime late = T0 + HS_PROMISE_OUTAGE_MAX - HS_SEC;

  (void) state;
  hs_promises_answered (p, A, true, late);
  hs_promises_answered (p, B, true, late);
  assert_int_equal (hs_promises_extended (p), T0 + HS_PROMISE_OUTAGE_MAX);
  talloc_free (p);
}

static void
a_promise_is_not_given_with_the_store_or_an_open_write (void **state)
{
  HsPromises *p = hs_promises_new (NULL);

  (void) state;
  assert_false (hs_promises_give (p, A, HS_PROMISE_SPAN, true, true, T0));
  assert_false (hs_promises_give (p, A, HS_PROMISE_SPAN, false, false, T0));
  assert_false (hs_promises_give (p, A, HS_PROMISE_SPAN + 1, false, true, T0));
  assert_false (hs_promises_give (p, A, 0, false, true, T0));
  assert_true (hs_promises_give (p, A, HS_PROMISE_SPAN, false, true, T0));
  talloc_free (p);
}

static void
a_promise_is_kept_and_outlasts_what_its_taker_counts (void **state)
{
  HsPromises *p = hs_promises_new (NULL);

  (void) state;
  hs_promises_met (p, A, T0);
  assert_true (hs_promises_may_take (p, A, T0));
  hs_promises_give (p, A, HS_PROMISE_SPAN, false, true, T0);
  assert_false (hs_promises_may_take (p, A, T0 + HS_PROMISE_SPAN - 1));
  assert_true (hs_promises_may_take (p, A, T0 + HS_PROMISE_SPAN));
  assert_true (HS_PROMISE_HELD < HS_PROMISE_SPAN);
  talloc_free (p);
}

static void
an_owner_that_may_not_know_this_entry_is_left_alone (void **state)
{
  HsPromises *p = hs_promises_new (NULL);

  (void) state;
  assert_false (hs_promises_may_take (p, A, T0));
  assert_false (hs_promises_may_take (p, A, T0 + HS_PROMISE_OUTAGE_MAX));
  assert_true (hs_promises_may_take (p, A, T0 + HS_PROMISE_OUTAGE_MAX + 1));
  hs_promises_met (p, B, T0);
  hs_promises_unknown_to_all (p, T0 + 1);
  assert_false (hs_promises_may_take (p, B, T0));
  hs_promises_gone (p, B);
  assert_true (hs_promises_may_take (p, B, T0));
  talloc_free (p);
}

static void
a_second_absence_is_counted_anew (void **state)
{
  HsPromises *p = hs_promises_new (NULL);
  HsTime back = T0 + HS_PROMISE_OUTAGE_MAX;

  (void) state;
  assert_false (hs_promises_may_take (p, A, T0));
  hs_promises_peer (p, A, back);
  assert_false (hs_promises_may_take (p, A, back + HS_SEC));
  /* What was missed before this entry's own record was written anew. */
  hs_promises_unknown_to_all (p, back + 2 * HS_SEC);
  assert_false (
      hs_promises_may_take (p, A, back + HS_PROMISE_OUTAGE_MAX + 2 * HS_SEC));
  talloc_free (p);
}

static void
an_answer_from_before_the_own_record_introduces_nobody (void **state)
{
  HsPromises *p = hs_promises_new (NULL);

  (void) state;
  hs_promises_unknown_to_all (p, T0);
  hs_promises_met (p, A, T0 - 1);
  assert_false (hs_promises_may_take (p, A, T0));
  hs_promises_met (p, A, T0);
  assert_true (hs_promises_may_take (p, A, T0));
  talloc_free (p);
}

static void
an_entry_heard_of_since_the_read_is_still_needed (void **state)
{
  HsPromises *p = owner_of_two_peers ();

  (void) state;
  hs_promises_answered (p, A, true, T0 + HS_SEC);
  assert_false (hs_promises_forget (p, B, T0));
  assert_int_equal (hs_promises_extended (p), 0);
  assert_int_equal (hs_promises_needed (p, A), B);
  assert_true (hs_promises_forget (p, B, T0 + 1));
  assert_int_equal (hs_promises_needed (p, A), 0);
  assert_int_equal (hs_promises_extended (p), T0 + HS_SEC + HS_PROMISE_HELD);
  talloc_free (p);
}

static void
a_promise_holds_for_what_another_took_meanwhile (void **state)
{
  HsPromises *p = hs_promises_new (NULL);

  (void) state;
  hs_promises_give (p, A, HS_PROMISE_SPAN, false, true, T0);
  hs_promises_gone (p, B);
  assert_false (hs_promises_may_take (p, B, T0 + HS_PROMISE_SPAN - 1));
  assert_true (hs_promises_may_take (p, B, T0 + HS_PROMISE_SPAN));
  hs_promises_give (p, A, HS_PROMISE_SPAN, false, true, T0 + HS_PROMISE_SPAN);
  hs_promises_gone (p, A);
  assert_true (hs_promises_may_take (p, B, T0 + HS_PROMISE_SPAN));
  talloc_free (p);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (every_entry_must_promise),
    cmocka_unit_test (alone_nothing_is_extended),
    cmocka_unit_test (a_new_entry_ends_the_extension),
    cmocka_unit_test (answers_from_before_the_store_answered_are_void),
    cmocka_unit_test (an_outage_is_bridged_up_to_the_bound),
    cmocka_unit_test (a_promise_is_not_given_with_the_store_or_an_open_write),
    cmocka_unit_test (a_promise_is_kept_and_outlasts_what_its_taker_counts),
    cmocka_unit_test (an_owner_that_may_not_know_this_entry_is_left_alone),
    cmocka_unit_test (a_second_absence_is_counted_anew),
    cmocka_unit_test (an_answer_from_before_the_own_record_introduces_nobody),
    cmocka_unit_test (an_entry_heard_of_since_the_read_is_still_needed),
    cmocka_unit_test (a_promise_holds_for_what_another_took_meanwhile),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
