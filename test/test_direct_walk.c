/* Random walks of an agent against the model of a target whose orders get
   lost, come seconds late, overtake each other; which hangs, dies and starts
   again; while entries come and go and the agent itself starts again. At no
   moment may more run than there is room for, and each launch ends once. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "direct/runs.h"
#include "random_walk.h"
#include "runner_model.h"

#define SEEDS 400
#define STEPS 1500
#define CAPACITY 5000
#define STEP_SPAN (7 * HS_MSEC)
#define PENDING_MAX 4096
#define REFS_MAX 8192

typedef enum
{
  ORDER_START,
  ORDER_STOP,
  ORDER_LOOK
} OrderKind;

/* An order on its way. */
typedef struct
{
  OrderKind kind;
  uint32_t life; /* Of the agent that sent it. */
  uint32_t run;
  HsTargetStart start;
  HsRunKey key;
  uint64_t token;
  HsTargetLook look;
  uint32_t cpu_milli;
  bool silent; /* No answer comes. */
  bool forgotten;
  HsTime due;
  HsTime given_up;
} Order;

typedef struct
{
  RandomWalk random;
  HsRunnerModel model;
  HsRuns *runs;
  void *ctx;
  HsTime now;
  uint32_t life;
  uint64_t sequence;
  Order pending[PENDING_MAX];
  uint32_t n_pending;
  uint32_t percent_lost; /* Of the orders. */
  uint8_t told[REFS_MAX];
  uint32_t refs;
} Walk;

static Walk walk;

static uint32_t
pick (uint32_t n)
{
  return random_pick (&walk.random, n);
}

static void
send_order (Order order)
{
  uint32_t timeout_ms = order.kind == ORDER_LOOK ? order.look.timeout_ms : 35;

  order.life = walk.life;
  order.silent = pick (100) < walk.percent_lost;
  order.due = walk.now + pick (3) * HS_MSEC;
  if (order.kind == ORDER_LOOK && !order.silent)
    order.due += pick (order.look.wait_ms + 1) * HS_MSEC;
  if (order.silent && pick (2) == 0)
    order.due
        = walk.now
          + (pick (2) == 0 ? 40 + pick (900) : 2000 + pick (10000)) * HS_MSEC;
  else if (order.silent && pick (2) == 0)
    order.due = HS_NEVER;
  order.given_up = walk.now + timeout_ms * HS_MSEC;
  assert_true (walk.n_pending < PENDING_MAX);
  walk.pending[walk.n_pending++] = order;
}

/* What a task takes is a function of its index, as the target knows it. */
static uint32_t
cpu_of (uint32_t index)
{
  return 400 + index % 5 * 300;
}

static void
on_start (void *arg, uint32_t run, const HsTargetStart *start)
{
  Order order = { .kind = ORDER_START, .run = run, .start = *start };

  (void) arg;
  order.cpu_milli = cpu_of (start->key.index);
  send_order (order);
}

static void
on_forget (void *arg, uint32_t run)
{
  uint32_t i;

  (void) arg;
  for (i = 0; i < walk.n_pending; i++)
    if (walk.pending[i].kind == ORDER_START && walk.pending[i].run == run
        && walk.pending[i].life == walk.life)
      walk.pending[i].forgotten = true;
}

static void
on_stop (void *arg, const HsRunKey *key, uint64_t token)
{
  Order order = { .kind = ORDER_STOP, .key = *key, .token = token };

  (void) arg;
  send_order (order);
}

static void
on_look (void *arg, const HsTargetLook *look)
{
  Order order = { .kind = ORDER_LOOK, .look = *look };

  (void) arg;
  send_order (order);
}

static void
on_ended (void *arg, uint32_t peer, const HsRunKey *key, const hsx_end *end)
{
  (void) arg;
  (void) key;
  (void) peer;
  assert_true (end->ref < walk.refs);
  assert_int_equal (walk.told[end->ref], 0);
  walk.told[end->ref] = 1;
}

static void
on_changed (void *arg)
{
  (void) arg;
}

static void
on_offered (void *arg, uint32_t peer)
{
  (void) arg;
  (void) peer;
}

static const HsRunsEffects EFFECTS = { on_start, on_forget,  on_stop,   on_look,
                                       on_ended, on_changed, on_offered };

static void
announce (void)
{
  HsAnnouncement said
      = { .name = "t", .service = "s", .address = "127.0.0.1:1" };

  said.born_ms = walk.model.born_ms;
  said.sequence = ++walk.sequence;
  said.capacity = (hsx_room){ CAPACITY, 100000, 0 };
  hs_runs_announce (walk.runs, &said, walk.now);
}

static void
start_agent (void)
{
  HsRunsOptions options = { .lease = HS_SEC, .stop_timeout = 50 * HS_MSEC };

  talloc_free (walk.ctx);
  walk.ctx = talloc_new (NULL);
  walk.life++;
  /* What the earlier life told its entries is over. */
  memset (walk.told, 1, sizeof walk.told);
  walk.runs = hs_runs_new (walk.ctx, &options, (uint64_t) (walk.now / HS_MSEC),
                           &EFFECTS, NULL);
  announce ();
}

static void
carry_out (Order *order)
{
  bool answers = !order->silent && !order->forgotten && order->life == walk.life
                 && walk.now <= order->given_up;
  HsTargetResult result;
  HsTargetList list;

  switch (order->kind)
    {
    case ORDER_START:
      result = hs_runner_model_start (
          &walk.model, &order->start, (20 + pick (400)) * HS_MSEC,
          pick (50) == 0, order->cpu_milli, walk.now);
      if (answers)
        hs_runs_started (walk.runs, order->run, result, walk.now);
      return;
    case ORDER_STOP:
      hs_runner_model_stop (&walk.model, &order->key, order->token, walk.now);
      return;
    case ORDER_LOOK:
      result
          = hs_runner_model_look (&walk.model, &order->look, &list, walk.now);
      if (answers)
        hs_runs_looked (walk.runs, order->look.number, result,
                        result == HS_TARGET_OK ? &list : NULL, walk.now);
      if (result == HS_TARGET_OK)
        {
          g_free (list.running);
          g_free (list.ends);
        }
      return;
    }
}

/* Times out what has no answer by now. */
static void
give_up (Order *order)
{
  if (order->life != walk.life || order->forgotten
      || walk.now < order->given_up)
    return;
  order->forgotten = true;
  if (order->kind == ORDER_START)
    hs_runs_started (walk.runs, order->run, HS_TARGET_UNANSWERED, walk.now);
  else if (order->kind == ORDER_LOOK)
    hs_runs_looked (walk.runs, order->look.number, HS_TARGET_UNANSWERED, NULL,
                    walk.now);
}

static void
move_orders (void)
{
  uint32_t i = 0;

  while (i < walk.n_pending)
    {
      Order order = walk.pending[i];
      bool over;

      if (walk.now >= order.due)
        {
          walk.pending[i] = walk.pending[--walk.n_pending];
          carry_out (&order);
          if (order.silent && !order.forgotten)
            {
              order.due = HS_NEVER;
              walk.pending[walk.n_pending++] = order;
            }
          continue;
        }
      give_up (&walk.pending[i]);
      over = walk.pending[i].due == HS_NEVER && walk.pending[i].forgotten;
      if (over
          || (walk.pending[i].due == HS_NEVER
              && walk.pending[i].kind == ORDER_STOP))
        walk.pending[i] = walk.pending[--walk.n_pending];
      else
        i++;
    }
}

static void
launch (void)
{
  hsx_launch_task task = { .ref = walk.refs, .attempt = 1 };
  char job[32];
  hsx_launch order = { .job = job, .left_ms = 200 + pick (2000) };

  if (walk.refs == REFS_MAX)
    return;
  g_snprintf (job, sizeof job, "%x", walk.refs);
  task.index = pick (40);
  order.needs = (hsx_room){ cpu_of (task.index), 10, 0 };
  order.expected_ms = 200;
  walk.told[walk.refs++] = 0;
  hs_runs_launch (walk.runs, pick (3), &order, &task,
                  walk.now - pick (20) * HS_MSEC, walk.now);
}

static void
strike (void)
{
  switch (pick (400))
    {
    case 0:
      hs_runner_model_reborn (&walk.model, walk.now);
      walk.sequence = 0;
      announce ();
      return;
    case 1:
      start_agent ();
      return;
    case 2:
      hs_runs_peer_lost (walk.runs, pick (3), walk.now);
      return;
    case 3:
      walk.percent_lost = pick (60);
      return;
    case 4:
      walk.percent_lost = 0;
      return;
    case 5:
      if (walk.refs > 0)
        hs_runs_stop (walk.runs, pick (3), walk.refs - 1, walk.now);
      return;
    case 6:
      announce ();
      return;
    default:
      return;
    }
}

/* Refs of entries that were lost aren't told; the count shows that none of
   them holds room. */
static void
walk_seed (uint32_t seed)
{
  int step;

  memset (&walk, 0, sizeof walk);
  walk.random = random_walk (seed);
  walk.now = 100000 * HS_SEC;
  hs_runner_model_init (&walk.model, walk.now);
  start_agent ();
  for (step = 0; step < STEPS; step++)
    {
      walk.now += STEP_SPAN;
      hs_runner_model_advance (&walk.model, walk.now);
      move_orders ();
      if (pick (3) != 0)
        launch ();
      strike ();
      hs_runs_tick (walk.runs, walk.now);
      if (walk.model.cpu_milli > CAPACITY)
        fail_msg ("seed %u step %d: %u of %u run", seed, step,
                  walk.model.cpu_milli, CAPACITY);
    }
  walk.percent_lost = 0;
  for (step = 0; step < 3000; step++)
    {
      walk.now += STEP_SPAN;
      hs_runner_model_advance (&walk.model, walk.now);
      move_orders ();
      hs_runs_tick (walk.runs, walk.now);
    }
  if (hs_runs_count (walk.runs) != 0 || walk.model.cpu_milli != 0)
    fail_msg ("seed %u: %u runs left here, %u thousandths there", seed,
              hs_runs_count (walk.runs), walk.model.cpu_milli);
  if (hs_runs_state (walk.runs) != HSX_TARGET_READY)
    fail_msg ("seed %u: state %d at the end", seed,
              (int) hs_runs_state (walk.runs));
  talloc_free (walk.ctx);
  walk.ctx = NULL;
  hs_runner_model_clear (&walk.model);
}

static void
room_is_never_exceeded_and_every_launch_ends (void **state)
{
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    walk_seed (seed);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (room_is_never_exceeded_and_every_launch_ends) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
