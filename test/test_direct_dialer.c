/* Which addresses are dialled, and when; connections are stubs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "direct/dialer.h"

#define T0 (1000 * HS_SEC)
#define LIMIT 4
#define N 20
#define DIALS_MAX 400

typedef struct
{
  char address[32];
  bool open;
} Dial;

static Dial dials[DIALS_MAX];
static uint32_t n_dials;
static HsDialer *dialer;

HsConn *
hs_rpc_dial (HsRpc *rpc, const char *address)
{
  Dial *dial = &dials[n_dials++];

  (void) rpc;
  assert_true (n_dials < DIALS_MAX);
  snprintf (dial->address, sizeof dial->address, "%s", address);
  dial->open = true;
  return (HsConn *) (void *) dial;
}

void
hs_conn_close (HsConn *conn)
{
  ((Dial *) (void *) conn)->open = false;
}

static HsConn *
conn_of (uint32_t dial)
{
  return (HsConn *) (void *) &dials[dial];
}

static uint32_t
n_open (void)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < n_dials; i++)
    n += dials[i].open;
  return n;
}

static void
learn (uint32_t from, uint32_t to, HsTime now)
{
  char address[32];
  uint32_t i;

  for (i = from; i < to; i++)
    {
      snprintf (address, sizeof address, "10.0.0.%u:7000", i);
      hs_dialer_add (dialer, address, false, now);
    }
}

static int
setup (void **state)
{
  (void) state;
  n_dials = 0;
  dialer = hs_dialer_new (NULL, NULL, "10.0.0.0:7000");
  hs_dialer_limit (dialer, "host", LIMIT);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (dialer);
  return 0;
}

static void
all_are_dialled_while_they_are_few (void **state)
{
  (void) state;
  learn (0, LIMIT + 1, T0);
  hs_dialer_tick (dialer, T0);
  /* But for the process itself. */
  assert_int_equal (n_open (), LIMIT);
}

static void
of_many_only_the_chosen_are_dialled (void **state)
{
  uint32_t i;

  (void) state;
  learn (1, N, T0);
  hs_dialer_tick (dialer, T0);
  assert_int_equal (n_open (), LIMIT);
  for (i = 0; i < LIMIT; i++)
    hs_dialer_up (dialer, conn_of (i));
  hs_dialer_tick (dialer, T0 + HS_SEC);
  assert_int_equal (n_dials, LIMIT);
}

static void
one_that_fails_is_replaced_and_tried_on (void **state)
{
  uint32_t i;
  HsTime now = T0;

  (void) state;
  learn (1, N, now);
  hs_dialer_tick (dialer, now);
  for (i = 1; i < LIMIT; i++)
    hs_dialer_up (dialer, conn_of (i));
  dials[0].open = false;
  hs_dialer_down (dialer, conn_of (0), now);
  hs_dialer_tick (dialer, now);
  assert_int_equal (n_open (), LIMIT);
  hs_dialer_up (dialer, conn_of (LIMIT));
  hs_dialer_tick (dialer, now + HS_SEC);
  assert_string_equal (dials[LIMIT + 1].address, dials[0].address);
  /* It is back: its deputy isn't wanted any more. */
  hs_dialer_up (dialer, conn_of (LIMIT + 1));
  assert_true (hs_dialer_wants (dialer, conn_of (LIMIT + 1)));
  assert_false (hs_dialer_wants (dialer, conn_of (LIMIT)));
}

static void
one_that_is_released_stays_known (void **state)
{
  HsTime now = T0;
  uint32_t i;

  (void) state;
  learn (1, 2, now);
  hs_dialer_tick (dialer, now);
  hs_dialer_up (dialer, conn_of (0));
  learn (2, N, now);
  hs_dialer_tick (dialer, now);
  for (i = 1; i < n_dials; i++)
    hs_dialer_up (dialer, conn_of (i));
  /* The first one isn't among the chosen; if it were, choose other names. */
  assert_false (hs_dialer_wants (dialer, conn_of (0)));
  hs_dialer_release (dialer, conn_of (0), now);
  hs_dialer_tick (dialer, now + 60 * HS_SEC);
  assert_int_equal (n_dials, LIMIT + 1);
  /* All others end: it is among the few that are left. */
  for (i = 1; i < n_dials; i++)
    hs_dialer_down (dialer, conn_of (i), now + 60 * HS_SEC);
  hs_dialer_tick (dialer, now + 60 * HS_SEC);
  assert_int_equal (n_dials, 2 * LIMIT + 1);
}

/* Entries that are gone fill no table for ever. */
static void
what_nobody_tells_of_is_forgotten (void **state)
{
  HsTime now = T0;
  HsTime due;
  uint32_t i;

  (void) state;
  learn (1, 250, now);
  for (i = 0; i < LIMIT; i++)
    {
      hs_dialer_tick (dialer, now);
      hs_dialer_up (dialer, conn_of (i));
    }
  now += 16 * 60 * HS_SEC;
  due = hs_dialer_tick (dialer, now);
  assert_true (due > now);
  learn (300, 540, now);
  for (i = 0; i < LIMIT; i++)
    hs_dialer_down (dialer, conn_of (i), now);
  n_dials = 0;
  hs_dialer_tick (dialer, now);
  assert_int_equal (n_dials, LIMIT);
  for (i = 0; i < n_dials; i++)
    assert_true (strncmp (dials[i].address, "10.0.0.3", 8) == 0
                 || strncmp (dials[i].address, "10.0.0.4", 8) == 0
                 || strncmp (dials[i].address, "10.0.0.5", 8) == 0);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (all_are_dialled_while_they_are_few),
    TEST (of_many_only_the_chosen_are_dialled),
    TEST (one_that_fails_is_replaced_and_tried_on),
    TEST (one_that_is_released_stays_known),
    TEST (what_nobody_tells_of_is_forgotten),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
