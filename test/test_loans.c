#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/loans.h"

/* Longer than any delay of asking and lending but the hold. */
#define SETTLED (100 * HS_MSEC)

static const HsCreditDemand short_of_9
    = { .queued = 10, .weight = 1, .idle = 1, .in_use = 5 };
static const HsCreditDemand has_20_idle = { .idle = 20, .in_use = 2 };

static HsLoans *
loans_with_peers (uint32_t n)
{
  HsLoans *loans = hs_loans_new (NULL, 3);
  uint32_t i;

  for (i = 0; i < n; i++)
    hs_loans_add_peer (loans, i);
  return loans;
}

static void
asks_only_after_a_lasting_shortage (void **state)
{
  HsLoans *loans = loans_with_peers (1);
  hsx_borrow_args args;
  uint32_t peer;

  (void) state;
  assert_false (hs_loans_next_request (loans, &short_of_9, 0, &peer, &args));
  assert_true (hs_loans_next_request_at (loans) > 0);
  assert_false (
      hs_loans_next_request (loans, &has_20_idle, SETTLED, &peer, &args));
  assert_false (
      hs_loans_next_request (loans, &short_of_9, SETTLED, &peer, &args));
  assert_true (hs_loans_next_request (
      loans, &short_of_9, hs_loans_next_request_at (loans), &peer, &args));
  assert_int_equal (args.want, 9);
  assert_int_equal (args.held, 6);
  assert_false (
      hs_loans_next_request (loans, &short_of_9, 2 * SETTLED, &peer, &args));
  talloc_free (loans);
}

static void
empty_answers_back_off_and_loans_reset_it (void **state)
{
  HsLoans *loans = loans_with_peers (1);
  hsx_borrow_args args;
  uint32_t peer;
  HsTime now = SETTLED;
  HsTime pause = 0;
  int i;

  (void) state;
  hs_loans_next_request (loans, &short_of_9, 0, &peer, &args);
  for (i = 0; i < 12; i++)
    {
      assert_true (
          hs_loans_next_request (loans, &short_of_9, now, &peer, &args));
      hs_loans_reply_received (loans, peer, 0, 0, now);
      pause = hs_loans_next_request_at (loans) - now;
      assert_false (hs_loans_next_request (loans, &short_of_9, now + pause - 1,
                                           &peer, &args));
      now += pause;
    }
  assert_in_range (pause, HS_SEC / 2, HS_SEC);
  assert_true (hs_loans_next_request (loans, &short_of_9, now, &peer, &args));
  hs_loans_reply_received (loans, peer, 3, 5, now);
  assert_true (hs_loans_next_request (loans, &short_of_9, now, &peer, &args));
  talloc_free (loans);
}

static void
the_peer_with_most_idle_credits_is_asked_first (void **state)
{
  HsLoans *loans = loans_with_peers (3);
  hsx_borrow_args args;
  uint32_t peer;
  uint32_t first;
  uint32_t second;

  (void) state;
  hs_loans_next_request (loans, &short_of_9, 0, &peer, &args);
  assert_true (
      hs_loans_next_request (loans, &short_of_9, SETTLED, &first, &args));
  assert_true (
      hs_loans_next_request (loans, &short_of_9, SETTLED, &second, &args));
  assert_int_not_equal (first, second);
  assert_false (
      hs_loans_next_request (loans, &short_of_9, SETTLED, &peer, &args));
  hs_loans_reply_received (loans, first, 1, 50, SETTLED);
  hs_loans_reply_received (loans, second, 1, 7, SETTLED);
  assert_true (
      hs_loans_next_request (loans, &short_of_9, SETTLED, &peer, &args));
  assert_int_equal (peer, first);
  /* Fifty idle ones are expected to come: enough for the nine missing. */
  assert_false (
      hs_loans_next_request (loans, &short_of_9, SETTLED, &peer, &args));
  hs_loans_remove_peer (loans, first);
  assert_true (
      hs_loans_next_request (loans, &short_of_9, SETTLED, &peer, &args));
  assert_int_equal (peer, second);
  talloc_free (loans);
}

static void
credits_that_stay_idle_are_lent (void **state)
{
  const hsx_borrow_args ask = { .want = 9, .held = 6, .weight = 1 };
  const HsCreditDemand busy = { .idle = 0, .in_use = 22 };
  HsLoans *loans = loans_with_peers (1);
  uint32_t peer;
  uint32_t n;
  HsTime now = 0;

  (void) state;
  assert_false (hs_loans_next_reply (loans, &busy, now, &peer, &n));
  hs_loans_request_received (loans, 0, &ask, now);
  /* All were in use a moment ago, so none has stayed idle yet. */
  assert_false (hs_loans_next_reply (loans, &has_20_idle, now, &peer, &n));
  while (!hs_loans_next_reply (loans, &has_20_idle, now, &peer, &n))
    {
      assert_true (hs_loans_next_reply_at (loans) > now);
      now = hs_loans_next_reply_at (loans);
    }
  assert_in_range (now, 1, 2 * SETTLED);
  assert_int_equal (n, 9);
  assert_true (hs_loans_next_reply_at (loans) == HS_NEVER);
  talloc_free (loans);
}

static void
a_question_is_kept_for_a_bounded_time (void **state)
{
  const hsx_borrow_args ask = { .want = 9, .held = 6, .weight = 1 };
  const HsCreditDemand busy = { .in_use = 22 };
  HsLoans *loans = loans_with_peers (2);
  uint32_t peer;
  uint32_t n;

  (void) state;
  hs_loans_request_received (loans, 1, &ask, 0);
  assert_false (
      hs_loans_next_reply (loans, &busy, HS_LOANS_HOLD_MAX - 1, &peer, &n));
  assert_true (hs_loans_next_reply_at (loans) == HS_LOANS_HOLD_MAX);
  assert_true (
      hs_loans_next_reply (loans, &busy, HS_LOANS_HOLD_MAX, &peer, &n));
  assert_int_equal (peer, 1);
  assert_int_equal (n, 0);
  talloc_free (loans);
}

/* Two entries with endless queues; credits come back one at a time. */
static void
holdings_tend_to_shares_by_weight (void **state)
{
  HsLoans *rich = loans_with_peers (1);
  uint32_t held_rich = 88;
  uint32_t held_poor = 0;
  HsTime now;

  (void) state;
  for (now = 0; now < 10 * HS_SEC; now += 5 * HS_MSEC)
    {
      const hsx_borrow_args ask
          = { .want = 390, .held = held_poor, .weight = 3 };
      const HsCreditDemand mine
          = { .queued = 390, .weight = 1, .idle = 1, .in_use = held_rich - 1 };
      uint32_t peer;
      uint32_t n;

      hs_loans_request_received (rich, 0, &ask, now);
      if (!hs_loans_next_reply (rich, &mine, now + SETTLED, &peer, &n))
        continue;
      held_rich -= n;
      held_poor += n;
    }
  assert_int_equal (held_poor, 66);
  assert_int_equal (held_rich, 22);
  talloc_free (rich);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (asks_only_after_a_lasting_shortage),
    cmocka_unit_test (empty_answers_back_off_and_loans_reset_it),
    cmocka_unit_test (the_peer_with_most_idle_credits_is_asked_first),
    cmocka_unit_test (credits_that_stay_idle_are_lent),
    cmocka_unit_test (a_question_is_kept_for_a_bounded_time),
    cmocka_unit_test (holdings_tend_to_shares_by_weight),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
