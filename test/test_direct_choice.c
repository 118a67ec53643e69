/* Which entries an agent keeps connections with. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "direct/choice.h"

#define ENTRIES 109
#define AGENTS 398
#define LIMIT 16

static HsChoice choices[ENTRIES];

static void
fill (uint32_t agent, uint32_t n)
{
  char chooser[32];
  char address[32];
  uint32_t i;

  snprintf (chooser, sizeof chooser, "host-%u", agent);
  for (i = 0; i < n; i++)
    {
      snprintf (address, sizeof address, "10.0.%u.%u:7100", i / 250, i % 250);
      choices[i] = (HsChoice){ .rank = hs_choice_rank (chooser, address) };
    }
}

static uint32_t
count (uint32_t n)
{
  uint32_t chosen = 0;
  uint32_t i;

  for (i = 0; i < n; i++)
    chosen += choices[i].chosen;
  return chosen;
}

static void
up_to_the_limit_all_are_chosen (void **state)
{
  (void) state;
  fill (1, LIMIT);
  hs_choose (choices, LIMIT, LIMIT);
  assert_int_equal (count (LIMIT), LIMIT);
}

/* No entry is left with less than half of its share, nor has twice of it. */
static void
every_entry_gets_its_share_of_the_agents (void **state)
{
  uint32_t links[ENTRIES] = { 0 };
  uint32_t share = AGENTS * LIMIT / ENTRIES;
  uint32_t a;
  uint32_t i;

  (void) state;
  for (a = 0; a < AGENTS; a++)
    {
      fill (a, ENTRIES);
      hs_choose (choices, ENTRIES, LIMIT);
      assert_int_equal (count (ENTRIES), LIMIT);
      for (i = 0; i < ENTRIES; i++)
        links[i] += choices[i].chosen;
    }
  for (i = 0; i < ENTRIES; i++)
    assert_in_range (links[i], share / 2, share * 2);
}

/* While one doesn't answer it is tried on, and one other takes its place. */
static void
a_failing_one_has_a_deputy (void **state)
{
  bool before[ENTRIES];
  uint32_t failing = 0;
  uint32_t more = 0;
  uint32_t i;

  (void) state;
  fill (7, ENTRIES);
  hs_choose (choices, ENTRIES, LIMIT);
  for (i = 0; i < ENTRIES; i++)
    {
      before[i] = choices[i].chosen;
      if (before[i])
        failing = i;
    }
  choices[failing].failing = true;
  hs_choose (choices, ENTRIES, LIMIT);
  for (i = 0; i < ENTRIES; i++)
    {
      assert_true (choices[i].chosen || !before[i]);
      more += choices[i].chosen && !before[i];
    }
  assert_int_equal (more, 1);
}

/* One that is new is chosen by its share of the agents, each of which gives up
   one other. */
static void
a_new_one_is_chosen_by_its_share (void **state)
{
  uint32_t chosen = 0;
  uint32_t changed = 0;
  uint32_t a;
  uint32_t i;

  (void) state;
  for (a = 0; a < AGENTS; a++)
    {
      bool before[ENTRIES];

      fill (a, ENTRIES);
      hs_choose (choices, ENTRIES - 1, LIMIT);
      for (i = 0; i < ENTRIES - 1; i++)
        before[i] = choices[i].chosen;
      hs_choose (choices, ENTRIES, LIMIT);
      chosen += choices[ENTRIES - 1].chosen;
      for (i = 0; i < ENTRIES - 1; i++)
        changed += before[i] != choices[i].chosen;
    }
  assert_in_range (chosen, AGENTS * LIMIT / ENTRIES / 2,
                   AGENTS * LIMIT / ENTRIES * 2);
  assert_int_equal (changed, chosen);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (up_to_the_limit_all_are_chosen),
    cmocka_unit_test (every_entry_gets_its_share_of_the_agents),
    cmocka_unit_test (a_failing_one_has_a_deputy),
    cmocka_unit_test (a_new_one_is_chosen_by_its_share),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
