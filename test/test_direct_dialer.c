/* Tests which addresses the dialer dials, and when. Connections are stubs. */
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
#define N_ADDRESSES 20
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
add_addresses (uint32_t from, uint32_t to, HsTime now)
{
  char address[32];
  uint32_t i;

  for (i = from; i < to; i++)
    {
      snprintf (address, sizeof address, "10.0.%u.%u:7000", i / 256, i % 256);
      hs_dialer_add (dialer, address, false, now);
    }
}

/* Guards against a list that is no longer followed: odd addresses of another
   writer take the places of those of entries. */
static void
texts_that_are_no_addresses_are_not_kept (void **state)
{
  static const char *const texts[] = { "",
                                       "nowhere",
                                       "10.0.0.1",
                                       "10.0.0.1:0",
                                       "10.0.0.1:65536",
                                       "10.0.0.1:-1",
                                       "10.0.0.1:99999999999999999999",
                                       "[[[[[[[[[[]:1" };
  char text[40];
  uint32_t i;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (texts); i++)
    assert_false (hs_dialer_add (dialer, texts[i], false, T0));
  for (i = 0; i < 1000; i++)
    {
      g_snprintf (text, sizeof text, "10.0.0.1:%u", 70000 + i);
      assert_false (hs_dialer_add (dialer, text, false, T0));
    }
  add_addresses (1, 2, T0);
  hs_dialer_tick (dialer, T0);
  assert_int_equal (n_dials, 1);
  assert_string_equal (dials[0].address, "10.0.0.1:7000");
}

static int
setup (void **state)
{
  (void) state;
  n_dials = 0;
  dialer = hs_dialer_new (NULL, NULL, "10.0.0.0:7000");
  hs_dialer_set_limit (dialer, "host", LIMIT);
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
up_to_the_limit_all_addresses_are_dialled (void **state)
{
  (void) state;
  add_addresses (0, LIMIT + 1, T0);
  hs_dialer_tick (dialer, T0);
  /* The process's own address is not dialled. */
  assert_int_equal (n_open (), LIMIT);
}

static void
above_the_limit_only_chosen_addresses_are_dialled (void **state)
{
  uint32_t i;

  (void) state;
  add_addresses (1, N_ADDRESSES, T0);
  hs_dialer_tick (dialer, T0);
  assert_int_equal (n_open (), LIMIT);
  for (i = 0; i < LIMIT; i++)
    hs_dialer_connected (dialer, conn_of (i));
  hs_dialer_tick (dialer, T0 + HS_SEC);
  assert_int_equal (n_dials, LIMIT);
}

static void
a_failing_address_is_replaced_and_retried (void **state)
{
  uint32_t i;
  HsTime now = T0;

  (void) state;
  add_addresses (1, N_ADDRESSES, now);
  hs_dialer_tick (dialer, now);
  for (i = 1; i < LIMIT; i++)
    hs_dialer_connected (dialer, conn_of (i));
  dials[0].open = false;
  hs_dialer_disconnected (dialer, conn_of (0), now);
  hs_dialer_tick (dialer, now);
  assert_int_equal (n_open (), LIMIT);
  hs_dialer_connected (dialer, conn_of (LIMIT));
  hs_dialer_tick (dialer, now + HS_SEC);
  assert_string_equal (dials[LIMIT + 1].address, dials[0].address);
  /* The address is connected again: its replacement isn't chosen any more. */
  hs_dialer_connected (dialer, conn_of (LIMIT + 1));
  assert_true (hs_dialer_is_chosen (dialer, conn_of (LIMIT + 1)));
  assert_false (hs_dialer_is_chosen (dialer, conn_of (LIMIT)));
}

static void
a_released_address_stays_known (void **state)
{
  HsTime now = T0;
  uint32_t i;

  (void) state;
  add_addresses (1, 2, now);
  hs_dialer_tick (dialer, now);
  hs_dialer_connected (dialer, conn_of (0));
  add_addresses (2, N_ADDRESSES, now);
  hs_dialer_tick (dialer, now);
  for (i = 1; i < n_dials; i++)
    hs_dialer_connected (dialer, conn_of (i));
  /* Precondition; if it fails, use other addresses. */
  assert_false (hs_dialer_is_chosen (dialer, conn_of (0)));
  hs_dialer_release (dialer, conn_of (0), now);
  hs_dialer_tick (dialer, now + 60 * HS_SEC);
  assert_int_equal (n_dials, LIMIT + 1);
  /* When all other connections end, it is among those dialled instead. */
  for (i = 1; i < n_dials; i++)
    hs_dialer_disconnected (dialer, conn_of (i), now + 60 * HS_SEC);
  hs_dialer_tick (dialer, now + 60 * HS_SEC);
  assert_int_equal (n_dials, 2 * LIMIT + 1);
}

/* Addresses of entries that no longer exist must not fill the table. */
static void
unreported_addresses_are_forgotten (void **state)
{
  HsTime now = T0;
  HsTime due;
  uint32_t i;

  (void) state;
  add_addresses (1, 250, now);
  for (i = 0; i < LIMIT; i++)
    {
      hs_dialer_tick (dialer, now);
      hs_dialer_connected (dialer, conn_of (i));
    }
  now += 16 * 60 * HS_SEC;
  due = hs_dialer_tick (dialer, now);
  assert_true (due > now);
  add_addresses (300, 540, now);
  for (i = 0; i < LIMIT; i++)
    hs_dialer_disconnected (dialer, conn_of (i), now);
  n_dials = 0;
  hs_dialer_tick (dialer, now);
  assert_int_equal (n_dials, LIMIT);
  for (i = 0; i < n_dials; i++)
    assert_true (strncmp (dials[i].address, "10.0.1.", 7) == 0
                 || strncmp (dials[i].address, "10.0.2.", 7) == 0);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (texts_that_are_no_addresses_are_not_kept),
    TEST (up_to_the_limit_all_addresses_are_dialled),
    TEST (above_the_limit_only_chosen_addresses_are_dialled),
    TEST (a_failing_address_is_replaced_and_retried),
    TEST (a_released_address_stays_known),
    TEST (unreported_addresses_are_forgotten),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
