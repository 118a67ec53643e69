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
  hs_promises_add_peer (p, A, T0);
  hs_promises_add_peer (p, B, T0);
  return p;
}

static void
lease_is_extended_only_if_every_peer_promises (void **state)
{
  HsPromises *p = owner_of_two_peers ();

  (void) state;
  assert_int_equal (hs_promises_next_request (p, T0 + HS_SEC), A);
  assert_int_equal (hs_promises_next_request (p, T0 + HS_SEC), B);
  assert_int_equal (hs_promises_next_request (p, T0 + HS_SEC), 0);
  hs_promises_handle_reply (p, A, true, T0 + HS_SEC);
  assert_int_equal (hs_promises_extended_until (p), 0);
  hs_promises_handle_reply (p, B, false, T0 + HS_SEC);
  assert_int_equal (hs_promises_extended_until (p), 0);
  hs_promises_handle_reply (p, B, true, T0 + 2 * HS_SEC);
  assert_int_equal (hs_promises_extended_until (p),
                    T0 + HS_SEC + HS_PROMISE_HOLDER_DURATION);
  talloc_free (p);
}

static void
lease_is_not_extended_without_peers (void **state)
{
  HsPromises *p = owner_of_two_peers ();

  (void) state;
  hs_promises_handle_reply (p, A, true, T0 + HS_SEC);
  hs_promises_handle_reply (p, B, true, T0 + HS_SEC);
  assert_true (hs_promises_extended_until (p) > 0);
  hs_promises_remove_peer (p, A, HS_NEVER);
  assert_true (hs_promises_extended_until (p) > 0);
  hs_promises_remove_peer (p, B, HS_NEVER);
  assert_int_equal (hs_promises_extended_until (p), 0);
  talloc_free (p);
}

static void
new_peer_ends_the_extension (void **state)
{
  HsPromises *p = owner_of_two_peers ();

  (void) state;
  hs_promises_handle_reply (p, A, true, T0 + HS_SEC);
  hs_promises_handle_reply (p, B, true, T0 + HS_SEC);
  hs_promises_add_peer (p, 3, T0);
  assert_int_equal (hs_promises_extended_until (p), 0);
  talloc_free (p);
}

static void
replies_to_requests_before_store_contact_are_ignored (void **state)
{
  HsPromises *p = owner_of_two_peers ();

  (void) state;
  hs_promises_handle_reply (p, A, true, T0 + HS_SEC);
  hs_promises_store_answered (p, T0 + 2 * HS_SEC);
  hs_promises_handle_reply (p, B, true, T0 + HS_SEC);
  assert_int_equal (hs_promises_extended_until (p), 0);
  talloc_free (p);
}

static void
extension_is_limited_to_the_longest_outage (void **state)
{
  HsPromises *p = owner_of_two_peers ();
  HsTime late = T0 + HS_PROMISE_OUTAGE_MAX - HS_SEC;

  (void) state;
  hs_promises_handle_reply (p, A, true, late);
  hs_promises_handle_reply (p, B, true, late);
  assert_int_equal (hs_promises_extended_until (p), T0 + HS_PROMISE_OUTAGE_MAX);
  talloc_free (p);
}

static void
no_promise_with_store_reachable_or_takeover_pending (void **state)
{
  HsPromises *p = hs_promises_new (NULL);

  (void) state;
  assert_false (hs_promises_give (p, A, HS_PROMISE_DURATION, true, true, T0));
  assert_false (hs_promises_give (p, A, HS_PROMISE_DURATION, false, false, T0));
  assert_false (
      hs_promises_give (p, A, HS_PROMISE_DURATION + 1, false, true, T0));
  assert_false (hs_promises_give (p, A, 0, false, true, T0));
  assert_true (hs_promises_give (p, A, HS_PROMISE_DURATION, false, true, T0));
  talloc_free (p);
}

static void
promise_blocks_takeover_longer_than_its_holder_counts (void **state)
{
  HsPromises *p = hs_promises_new (NULL);

  (void) state;
  hs_promises_set_known_to (p, A, T0);
  assert_true (hs_promises_may_take_over (p, A, T0));
  hs_promises_give (p, A, HS_PROMISE_DURATION, false, true, T0);
  assert_false (hs_promises_may_take_over (p, A, T0 + HS_PROMISE_DURATION - 1));
  assert_true (hs_promises_may_take_over (p, A, T0 + HS_PROMISE_DURATION));
  assert_true (HS_PROMISE_HOLDER_DURATION < HS_PROMISE_DURATION);
  talloc_free (p);
}

static void
no_takeover_from_owner_that_may_not_know_this_entry (void **state)
{
  HsPromises *p = hs_promises_new (NULL);

  (void) state;
  assert_false (hs_promises_may_take_over (p, A, T0));
  assert_false (hs_promises_may_take_over (p, A, T0 + HS_PROMISE_OUTAGE_MAX));
  assert_true (
      hs_promises_may_take_over (p, A, T0 + HS_PROMISE_OUTAGE_MAX + 1));
  hs_promises_set_known_to (p, B, T0);
  hs_promises_own_record_written (p, T0 + 1);
  assert_false (hs_promises_may_take_over (p, B, T0));
  hs_promises_set_terminated (p, B);
  assert_true (hs_promises_may_take_over (p, B, T0));
  talloc_free (p);
}

static void
absence_is_counted_anew_after_a_return (void **state)
{
  HsPromises *p = hs_promises_new (NULL);
  HsTime returned_at = T0 + HS_PROMISE_OUTAGE_MAX;

  (void) state;
  assert_false (hs_promises_may_take_over (p, A, T0));
  hs_promises_add_peer (p, A, returned_at);
  assert_false (hs_promises_may_take_over (p, A, returned_at + HS_SEC));
  /* Writing this entry's own record restarts the absence, too. */
  hs_promises_own_record_written (p, returned_at + 2 * HS_SEC);
  assert_false (hs_promises_may_take_over (
      p, A, returned_at + HS_PROMISE_OUTAGE_MAX + 2 * HS_SEC));
  talloc_free (p);
}

static void
reply_from_before_own_record_does_not_make_entry_known (void **state)
{
  HsPromises *p = hs_promises_new (NULL);

  (void) state;
  hs_promises_own_record_written (p, T0);
  hs_promises_set_known_to (p, A, T0 - 1);
  assert_false (hs_promises_may_take_over (p, A, T0));
  hs_promises_set_known_to (p, A, T0);
  assert_true (hs_promises_may_take_over (p, A, T0));
  talloc_free (p);
}

static void
peer_known_since_the_read_stays_required (void **state)
{
  HsPromises *p = owner_of_two_peers ();

  (void) state;
  hs_promises_handle_reply (p, A, true, T0 + HS_SEC);
  assert_false (hs_promises_remove_peer (p, B, T0));
  assert_int_equal (hs_promises_extended_until (p), 0);
  assert_int_equal (hs_promises_next_required (p, A), B);
  assert_true (hs_promises_remove_peer (p, B, T0 + 1));
  assert_int_equal (hs_promises_next_required (p, A), 0);
  assert_int_equal (hs_promises_extended_until (p),
                    T0 + HS_SEC + HS_PROMISE_HOLDER_DURATION);
  talloc_free (p);
}

static void
promise_blocks_takeover_from_any_owner (void **state)
{
  HsPromises *p = hs_promises_new (NULL);

  (void) state;
  hs_promises_give (p, A, HS_PROMISE_DURATION, false, true, T0);
  hs_promises_set_terminated (p, B);
  assert_false (hs_promises_may_take_over (p, B, T0 + HS_PROMISE_DURATION - 1));
  assert_true (hs_promises_may_take_over (p, B, T0 + HS_PROMISE_DURATION));
  hs_promises_give (p, A, HS_PROMISE_DURATION, false, true,
                    T0 + HS_PROMISE_DURATION);
  hs_promises_set_terminated (p, A);
  assert_true (hs_promises_may_take_over (p, B, T0 + HS_PROMISE_DURATION));
  talloc_free (p);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (lease_is_extended_only_if_every_peer_promises),
    cmocka_unit_test (lease_is_not_extended_without_peers),
    cmocka_unit_test (new_peer_ends_the_extension),
    cmocka_unit_test (replies_to_requests_before_store_contact_are_ignored),
    cmocka_unit_test (extension_is_limited_to_the_longest_outage),
    cmocka_unit_test (no_promise_with_store_reachable_or_takeover_pending),
    cmocka_unit_test (promise_blocks_takeover_longer_than_its_holder_counts),
    cmocka_unit_test (no_takeover_from_owner_that_may_not_know_this_entry),
    cmocka_unit_test (absence_is_counted_anew_after_a_return),
    cmocka_unit_test (reply_from_before_own_record_does_not_make_entry_known),
    cmocka_unit_test (peer_known_since_the_read_stays_required),
    cmocka_unit_test (promise_blocks_takeover_from_any_owner),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
