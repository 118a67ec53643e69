#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/loans.h"

/* Longer than any delay of requests and loans except HS_LOANS_HOLD_MAX. */
#define AFTER_DELAYS (100 * HS_MSEC)

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
requests_only_after_lasting_shortage (void **state)
{
  HsLoans *loans = loans_with_peers (1);
  hsx_borrow_args args;
  uint32_t peer;

  (void) state;
  assert_false (hs_loans_next_request (loans, &short_of_9, 0, &peer, &args));
  assert_true (hs_loans_next_request_at (loans) > 0);
  assert_false (
      hs_loans_next_request (loans, &has_20_idle, AFTER_DELAYS, &peer, &args));
  assert_false (
      hs_loans_next_request (loans, &short_of_9, AFTER_DELAYS, &peer, &args));
  assert_true (hs_loans_next_request (
      loans, &short_of_9, hs_loans_next_request_at (loans), &peer, &args));
  assert_int_equal (args.want, 9);
  assert_int_equal (args.held, 6);
  assert_false (hs_loans_next_request (loans, &short_of_9, 2 * AFTER_DELAYS,
                                       &peer, &args));
  talloc_free (loans);
}

static void
empty_replies_back_off_until_a_loan (void **state)
{
  HsLoans *loans = loans_with_peers (1);
  hsx_borrow_args args;
  uint32_t peer;
  HsTime now = AFTER_DELAYS;
  HsTime backoff = 0;
  int i;

  (void) state;
  hs_loans_next_request (loans, &short_of_9, 0, &peer, &args);
  for (i = 0; i < 12; i++)
    {
      assert_true (
          hs_loans_next_request (loans, &short_of_9, now, &peer, &args));
      hs_loans_reply_received (loans, peer, 0, 0, now);
      backoff = hs_loans_next_request_at (loans) - now;
      assert_false (hs_loans_next_request (loans, &short_of_9,
                                           now + backoff - 1, &peer, &args));
      now += backoff;
    }
  assert_in_range (backoff, HS_SEC / 2, HS_SEC);
  assert_true (hs_loans_next_request (loans, &short_of_9, now, &peer, &args));
  hs_loans_reply_received (loans, peer, 3, 5, now);
  assert_true (hs_loans_next_request (loans, &short_of_9, now, &peer, &args));
  talloc_free (loans);
}

static void
peer_with_most_idle_credits_is_asked_first (void **state)
{
  HsLoans *loans = loans_with_peers (3);
  hsx_borrow_args args;
  uint32_t peer;
  uint32_t first;
  uint32_t second;

  (void) state;
  hs_loans_next_request (loans, &short_of_9, 0, &peer, &args);
  assert_true (
      hs_loans_next_request (loans, &short_of_9, AFTER_DELAYS, &first, &args));
  assert_true (
      hs_loans_next_request (loans, &short_of_9, AFTER_DELAYS, &second, &args));
  assert_int_not_equal (first, second);
  assert_false (
      hs_loans_next_request (loans, &short_of_9, AFTER_DELAYS, &peer, &args));
  hs_loans_reply_received (loans, first, 1, 50, AFTER_DELAYS);
  hs_loans_reply_received (loans, second, 1, 7, AFTER_DELAYS);
  assert_true (
      hs_loans_next_request (loans, &short_of_9, AFTER_DELAYS, &peer, &args));
  assert_int_equal (peer, first);
  /* The first peer reported 50 idle credits, which cover the nine missing
   * ones. */
  assert_false (
      hs_loans_next_request (loans, &short_of_9, AFTER_DELAYS, &peer, &args));
  hs_loans_remove_peer (loans, first);
  assert_true (
      hs_loans_next_request (loans, &short_of_9, AFTER_DELAYS, &peer, &args));
  assert_int_equal (peer, second);
  talloc_free (loans);
}

static void
idle_credits_are_lent (void **state)
{
  const hsx_borrow_args request = { .want = 9, .held = 6, .weight = 1 };
  const HsCreditDemand busy = { .idle = 0, .in_use = 22 };
  HsLoans *loans = loans_with_peers (1);
  uint32_t peer;
  uint32_t n;
  HsTime now = 0;

  (void) state;
  assert_false (hs_loans_next_reply (loans, &busy, now, &peer, &n));
  hs_loans_request_received (loans, 0, &request, now);
  /* All credits were in use a moment ago, so none has been idle for long
   * enough. */
  assert_false (hs_loans_next_reply (loans, &has_20_idle, now, &peer, &n));
  while (!hs_loans_next_reply (loans, &has_20_idle, now, &peer, &n))
    {
      assert_true (hs_loans_next_reply_at (loans) > now);
      now = hs_loans_next_reply_at (loans);
    }
  assert_in_range (now, 1, 2 * AFTER_DELAYS);
  assert_int_equal (n, 9);
  assert_true (hs_loans_next_reply_at (loans) == HS_NEVER);
  talloc_free (loans);
}

static void
request_is_held_for_bounded_time (void **state)
{
  const hsx_borrow_args request = { .want = 9, .held = 6, .weight = 1 };
  const HsCreditDemand busy = { .in_use = 22 };
  HsLoans *loans = loans_with_peers (2);
  uint32_t peer;
  uint32_t n;

  (void) state;
  hs_loans_request_received (loans, 1, &request, 0);
  assert_false (
      hs_loans_next_reply (loans, &busy, HS_LOANS_HOLD_MAX - 1, &peer, &n));
  assert_true (hs_loans_next_reply_at (loans) == HS_LOANS_HOLD_MAX);
  assert_true (
      hs_loans_next_reply (loans, &busy, HS_LOANS_HOLD_MAX, &peer, &n));
  assert_int_equal (peer, 1);
  assert_int_equal (n, 0);
  talloc_free (loans);
}

/* Both entries always have tasks waiting; credits of the lender become idle one
 * at a time. */
static void
holdings_converge_to_weighted_shares (void **state)
{
  HsLoans *lender = loans_with_peers (1);
  uint32_t held_by_lender = 88;
  uint32_t held_by_borrower = 0;
  HsTime now;

  (void) state;
  for (now = 0; now < 10 * HS_SEC; now += 5 * HS_MSEC)
    {
      const hsx_borrow_args request
          = { .want = 390, .held = held_by_borrower, .weight = 3 };
      const HsCreditDemand mine = {
        .queued = 390, .weight = 1, .idle = 1, .in_use = held_by_lender - 1
      };
      uint32_t peer;
      uint32_t n;

      hs_loans_request_received (lender, 0, &request, now);
      if (!hs_loans_next_reply (lender, &mine, now + AFTER_DELAYS, &peer, &n))
        continue;
      held_by_lender -= n;
      held_by_borrower += n;
    }
  assert_int_equal (held_by_borrower, 66);
  assert_int_equal (held_by_lender, 22);
  talloc_free (lender);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (requests_only_after_lasting_shortage),
    cmocka_unit_test (empty_replies_back_off_until_a_loan),
    cmocka_unit_test (peer_with_most_idle_credits_is_asked_first),
    cmocka_unit_test (idle_credits_are_lent),
    cmocka_unit_test (request_is_held_for_bounded_time),
    cmocka_unit_test (holdings_converge_to_weighted_shares),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
