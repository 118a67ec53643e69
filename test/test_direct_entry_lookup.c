/* When an agent reads the entries' addresses: after a loss of power with the
   seeds down, while the store is down too, and in the long run. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "direct/entry_lookup.h"
#include "direct/liveness.h"

#define T0 (1000 * HS_SEC)

/* The agent's timer fires at least this often. */
#define TICK (10 * HS_MSEC)

/* Returns the number of reads in a span; each fails after 100 ms. */
static uint32_t
count_reads (HsEntryLookup *lookup, bool connected, HsTime from, HsTime span)
{
  uint32_t n = 0;
  HsTime done_at = HS_NEVER;
  HsTime now;

  for (now = from; now < from + span; now += TICK)
    {
      if (now >= done_at)
        {
          hs_entry_lookup_done (lookup);
          done_at = HS_NEVER;
        }
      if (hs_entry_lookup_due (lookup, connected, now))
        {
          n++;
          done_at = now + 100 * HS_MSEC;
        }
    }
  if (done_at != HS_NEVER)
    hs_entry_lookup_done (lookup);
  return n;
}

static void
an_agent_that_starts_reads_at_once (void **state)
{
  HsEntryLookup lookup = { 0 };

  (void) state;
  assert_true (hs_entry_lookup_due (&lookup, false, T0));
  assert_false (hs_entry_lookup_due (&lookup, false, T0 + TICK));
}

/* 510 agents may read twice a second each from a store that serves 2,000. */
static void
an_agent_alone_reads_again_but_not_in_a_storm (void **state)
{
  HsEntryLookup lookup = { 0 };
  uint32_t n = count_reads (&lookup, false, T0, 10 * HS_SEC);

  (void) state;
  assert_in_range (n, 5, 20);
}

static void
a_short_break_of_all_connections_reads_nothing (void **state)
{
  HsEntryLookup lookup = { 0 };
  HsTime now = T0;

  (void) state;
  count_reads (&lookup, true, now, 5 * HS_SEC);
  now += 5 * HS_SEC;
  assert_int_equal (count_reads (&lookup, false, now, 300 * HS_MSEC), 0);
  now += 300 * HS_MSEC;
  assert_int_equal (count_reads (&lookup, true, now, 5 * HS_SEC), 0);
  now += 5 * HS_SEC;
  assert_int_equal (count_reads (&lookup, false, now, 600 * HS_MSEC), 1);
}

static void
a_connected_agent_reads_rarely (void **state)
{
  HsEntryLookup lookup = { 0 };

  (void) state;
  count_reads (&lookup, true, T0, HS_SEC);
  assert_int_equal (count_reads (&lookup, true, T0 + HS_SEC,
                                 HS_ENTRIES_REFRESH_INTERVAL - 2 * HS_SEC),
                    0);
  assert_int_equal (count_reads (&lookup, true,
                                 T0 + HS_ENTRIES_REFRESH_INTERVAL - HS_SEC,
                                 2 * HS_SEC),
                    1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (an_agent_that_starts_reads_at_once),
    cmocka_unit_test (an_agent_alone_reads_again_but_not_in_a_storm),
    cmocka_unit_test (a_short_break_of_all_connections_reads_nothing),
    cmocka_unit_test (a_connected_agent_reads_rarely),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
