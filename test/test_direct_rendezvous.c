/* The selection of the entries that an agent connects to. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "policy/rendezvous.h"

#define ENTRIES 109
#define AGENTS 398
#define LIMIT 16

static HsCandidate candidates[ENTRIES];

static void
fill_candidates (uint32_t agent, uint32_t n)
{
  char chooser[32];
  char address[32];
  uint32_t i;

  snprintf (chooser, sizeof chooser, "host-%u", agent);
  for (i = 0; i < n; i++)
    {
      snprintf (address, sizeof address, "10.0.%u.%u:7100", i / 250, i % 250);
      candidates[i]
          = (HsCandidate){ .hash = hs_rendezvous_hash (chooser, address) };
    }
}

static uint32_t
count_chosen (uint32_t n)
{
  uint32_t chosen = 0;
  uint32_t i;

  for (i = 0; i < n; i++)
    chosen += candidates[i].chosen;
  return chosen;
}

static void
all_candidates_are_chosen_up_to_the_limit (void **state)
{
  (void) state;
  fill_candidates (1, LIMIT);
  hs_rendezvous_choose (candidates, LIMIT, LIMIT);
  assert_int_equal (count_chosen (LIMIT), LIMIT);
}

/* Every entry gets between half and twice its share. */
static void
every_entry_gets_its_share_of_the_agents (void **state)
{
  uint32_t agent_counts[ENTRIES] = { 0 };
  uint32_t share = AGENTS * LIMIT / ENTRIES;
  uint32_t a;
  uint32_t i;

  (void) state;
  for (a = 0; a < AGENTS; a++)
    {
      fill_candidates (a, ENTRIES);
      hs_rendezvous_choose (candidates, ENTRIES, LIMIT);
      assert_int_equal (count_chosen (ENTRIES), LIMIT);
      for (i = 0; i < ENTRIES; i++)
        agent_counts[i] += candidates[i].chosen;
    }
  for (i = 0; i < ENTRIES; i++)
    assert_in_range (agent_counts[i], share / 2, share * 2);
}

/* The agent keeps trying an entry that doesn't answer, and connects to one
   other entry as well. */
static void
an_unresponsive_entry_gets_one_substitute (void **state)
{
  bool before[ENTRIES];
  uint32_t unresponsive_entry = 0;
  uint32_t n_added = 0;
  uint32_t i;

  (void) state;
  fill_candidates (7, ENTRIES);
  hs_rendezvous_choose (candidates, ENTRIES, LIMIT);
  for (i = 0; i < ENTRIES; i++)
    {
      before[i] = candidates[i].chosen;
      if (before[i])
        unresponsive_entry = i;
    }
  candidates[unresponsive_entry].unresponsive = true;
  hs_rendezvous_choose (candidates, ENTRIES, LIMIT);
  for (i = 0; i < ENTRIES; i++)
    {
      assert_true (candidates[i].chosen || !before[i]);
      n_added += candidates[i].chosen && !before[i];
    }
  assert_int_equal (n_added, 1);
}

/* Each agent that chooses the new entry drops exactly one other. */
static void
a_new_entry_gets_its_share_of_the_agents (void **state)
{
  uint32_t chosen = 0;
  uint32_t changed = 0;
  uint32_t a;
  uint32_t i;

  (void) state;
  for (a = 0; a < AGENTS; a++)
    {
      bool before[ENTRIES];

      fill_candidates (a, ENTRIES);
      hs_rendezvous_choose (candidates, ENTRIES - 1, LIMIT);
      for (i = 0; i < ENTRIES - 1; i++)
        before[i] = candidates[i].chosen;
      hs_rendezvous_choose (candidates, ENTRIES, LIMIT);
      chosen += candidates[ENTRIES - 1].chosen;
      for (i = 0; i < ENTRIES - 1; i++)
        changed += before[i] != candidates[i].chosen;
    }
  assert_in_range (chosen, AGENTS * LIMIT / ENTRIES / 2,
                   AGENTS * LIMIT / ENTRIES * 2);
  assert_int_equal (changed, chosen);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (all_candidates_are_chosen_up_to_the_limit),
    cmocka_unit_test (every_entry_gets_its_share_of_the_agents),
    cmocka_unit_test (an_unresponsive_entry_gets_one_substitute),
    cmocka_unit_test (a_new_entry_gets_its_share_of_the_agents),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
