/* Random sequences of events between an agent and the model of a target. Calls
   to the target get lost, arrive seconds late or overtake each other; runs
   hang, target and agent restart, the capacity shrinks and grows, and entries
   get offers and get lost. A start must never exceed the capacity, and each
   launch has to end exactly once. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "direct/runs_private.h"
#include "prng.h"
#include "target_model.h"

#define SEEDS 400
#define STEPS 1500
#define CAPACITY 5000

/** A start may reach the target this long after its agent sent it: the length
 * of its lease. Until then it may exceed a capacity that has shrunk meanwhile.
 */
#define START_AGE_MAX (1020 * HS_MSEC)
#define STEP_TIME (7 * HS_MSEC)
#define PENDING_MAX 4096
#define REFS_MAX 8192

typedef enum
{
  ORDER_START,
  ORDER_STOP,
  ORDER_POLL
} OrderKind;

/* A call to the target in flight. */
typedef struct
{
  OrderKind kind;
  uint32_t agent_incarnation; /* That sent it. */
  uint32_t run;
  HsTargetStart start;
  HsRunKey key;
  uint64_t token;
  HsTargetPoll poll;
  uint32_t cpu_milli;
  bool unanswered; /* No answer arrives; it may be carried out late. */
  bool abandoned;
  HsTime due;
  HsTime timeout_at;
} Order;

typedef struct
{
  Prng random;
  HsTargetModel model;
  HsRuns *runs;
  void *ctx;
  HsTime now;
  uint32_t seed;
  uint32_t agent_incarnation;
  uint64_t sequence;
  Order pending[PENDING_MAX];
  uint32_t n_pending;
  uint32_t capacity;
  uint32_t capacity_before; /* Counts until... */
  HsTime shrunk_until;      /* ...then, as starts sent before may arrive. */
  uint32_t lost_percent;    /* Share of calls that get no answer. */
  uint8_t reported[REFS_MAX];
  uint32_t n_refs;
} World;

static World world;

static uint32_t
pick (uint32_t n)
{
  return prng_below (&world.random, n);
}

static void
send_order (Order order)
{
  uint32_t timeout_ms = order.kind == ORDER_POLL ? order.poll.timeout_ms : 35;

  order.agent_incarnation = world.agent_incarnation;
  order.unanswered = pick (100) < world.lost_percent;
  order.due = world.now + pick (3) * HS_MSEC;
  if (order.kind == ORDER_POLL && !order.unanswered)
    order.due += pick (order.poll.wait_ms + 1) * HS_MSEC;
  if (order.unanswered && pick (2) == 0)
    order.due
        = world.now
          + (pick (2) == 0 ? 40 + pick (900) : 2000 + pick (10000)) * HS_MSEC;
  else if (order.unanswered && pick (2) == 0)
    order.due = HS_NEVER;
  order.timeout_at = world.now + timeout_ms * HS_MSEC;
  assert_true (world.n_pending < PENDING_MAX);
  world.pending[world.n_pending++] = order;
}

/* The processor share of a task follows from its index, so that the target can
   derive it too. */
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
on_abandon_start (void *arg, uint32_t run)
{
  uint32_t i;

  (void) arg;
  for (i = 0; i < world.n_pending; i++)
    if (world.pending[i].kind == ORDER_START && world.pending[i].run == run
        && world.pending[i].agent_incarnation == world.agent_incarnation)
      world.pending[i].abandoned = true;
}

static void
on_stop (void *arg, const HsRunKey *key, uint64_t token)
{
  Order order = { .kind = ORDER_STOP, .key = *key, .token = token };

  (void) arg;
  send_order (order);
}

static void
on_poll (void *arg, const HsTargetPoll *poll)
{
  Order order = { .kind = ORDER_POLL, .poll = *poll };

  (void) arg;
  send_order (order);
}

static void
on_ended (void *arg, uint32_t entry, const HsRunKey *key, const hsx_end *end)
{
  (void) arg;
  (void) key;
  (void) entry;
  assert_true (end->ref < world.n_refs);
  assert_int_equal (world.reported[end->ref], 0);
  world.reported[end->ref] = 1;
}

static void
on_changed (void *arg)
{
  (void) arg;
}

static void
on_offered (void *arg, uint32_t entry)
{
  (void) arg;
  (void) entry;
}

static void
on_crashed (void *arg, const HsCrash *crash)
{
  (void) arg;
  (void) crash;
}

static const HsRunsEffects EFFECTS
    = { on_start, on_abandon_start, on_stop,    on_poll,
        on_ended, on_changed,       on_offered, on_crashed };

static void
announce (void)
{
  HsAnnouncement announcement
      = { .name = "t", .service = "s", .address = "127.0.0.1:1" };

  announcement.started_ms = world.model.started_ms;
  announcement.sequence = ++world.sequence;
  announcement.capacity = (hsx_room){ world.capacity, 100000, 0 };
  hs_runs_target_announced (world.runs, &announcement, world.now);
}

static void
start_agent (void)
{
  HsRunsOptions options = { .lease = HS_SEC, .stop_timeout = 50 * HS_MSEC };

  talloc_free (world.ctx);
  world.ctx = talloc_new (NULL);
  world.agent_incarnation++;
  /* The ends of the earlier incarnation's launches are no longer expected. */
  memset (world.reported, 1, sizeof world.reported);
  world.runs = hs_runs_new (world.ctx, &options,
                            (uint64_t) (world.now / HS_MSEC), &EFFECTS, NULL);
  announce ();
}

static void
change_capacity (void)
{
  uint32_t before = world.capacity;

  world.capacity = CAPACITY / 5 * (1 + pick (5));
  if (world.capacity < before)
    {
      if (world.now >= world.shrunk_until || before > world.capacity_before)
        world.capacity_before = before;
      world.shrunk_until = world.now + START_AGE_MAX;
    }
  announce ();
}

static void
check_capacity (void)
{
  uint32_t allowed = world.capacity;

  if (world.now < world.shrunk_until)
    allowed = MAX (allowed, world.capacity_before);
  if (world.model.cpu_milli > allowed)
    fail_msg ("seed %u: a start at %" G_GINT64_FORMAT
              " us makes it %u of %u thousandths",
              world.seed, world.now, world.model.cpu_milli, allowed);
}

static void
execute_order (Order *order)
{
  bool answers = !order->unanswered && !order->abandoned
                 && order->agent_incarnation == world.agent_incarnation
                 && world.now <= order->timeout_at;
  HsTargetResult result;
  HsTargetList list;

  switch (order->kind)
    {
    case ORDER_START:
      result = hs_target_model_start (
          &world.model, &order->start, (20 + pick (400)) * HS_MSEC,
          pick (50) == 0, order->cpu_milli, world.now);
      if (result == HS_TARGET_OK)
        check_capacity ();
      if (answers)
        hs_runs_start_done (world.runs, order->run, result, world.now);
      return;
    case ORDER_STOP:
      hs_target_model_stop (&world.model, &order->key, order->token, world.now);
      return;
    case ORDER_POLL:
      result
          = hs_target_model_poll (&world.model, &order->poll, &list, world.now);
      if (answers)
        hs_runs_poll_done (world.runs, order->poll.number, result,
                           result == HS_TARGET_OK ? &list : NULL, world.now);
      if (result == HS_TARGET_OK)
        {
          g_free (list.running);
          g_free (list.ends);
        }
      return;
    }
}

/* Reports a call as unanswered if its timeout has passed. */
static void
time_out_order (Order *order)
{
  if (order->agent_incarnation != world.agent_incarnation || order->abandoned
      || world.now < order->timeout_at)
    return;
  order->abandoned = true;
  if (order->kind == ORDER_START)
    hs_runs_start_done (world.runs, order->run, HS_TARGET_UNANSWERED,
                        world.now);
  else if (order->kind == ORDER_POLL)
    hs_runs_poll_done (world.runs, order->poll.number, HS_TARGET_UNANSWERED,
                       NULL, world.now);
}

static void
deliver_orders (void)
{
  uint32_t i = 0;

  while (i < world.n_pending)
    {
      Order order = world.pending[i];
      bool finished;

      if (world.now >= order.due)
        {
          world.pending[i] = world.pending[--world.n_pending];
          execute_order (&order);
          if (order.unanswered && !order.abandoned)
            {
              order.due = HS_NEVER;
              world.pending[world.n_pending++] = order;
            }
          continue;
        }
      time_out_order (&world.pending[i]);
      finished = world.pending[i].due == HS_NEVER && world.pending[i].abandoned;
      if (finished
          || (world.pending[i].due == HS_NEVER
              && world.pending[i].kind == ORDER_STOP))
        world.pending[i] = world.pending[--world.n_pending];
      else
        i++;
    }
}

/* What the agent grants never exceeds the capacity that it knows. */
static void
check_granted (void)
{
  uint32_t granted = 0;
  uint32_t i;

  for (i = 0; i < HS_RUNS_MAX; i++)
    if (world.runs->runs[i].state != HS_RUN_FREE)
      granted += world.runs->runs[i].needs.cpu_milli;
  if (granted > world.capacity)
    fail_msg ("seed %u: %u of %u thousandths granted", world.seed, granted,
              world.capacity);
}

static void
launch (void)
{
  hsx_launch_task task = { .ref = world.n_refs, .attempt = 1 };
  char job[32];
  uint32_t n_before;
  hsx_launch order
      = { .job = job, .customer = (char *) "c", .left_ms = 200 + pick (2000) };

  if (world.n_refs == REFS_MAX)
    return;
  g_snprintf (job, sizeof job, "%x", world.n_refs);
  task.index = pick (40);
  order.needs = (hsx_room){ cpu_of (task.index), 10, 0 };
  order.expected_ms = 200;
  world.reported[world.n_refs++] = 0;
  n_before = hs_runs_count (world.runs);
  hs_runs_launch (world.runs, pick (3), &order, &task,
                  world.now - pick (20) * HS_MSEC, world.now);
  if (hs_runs_count (world.runs) > n_before)
    check_granted ();
}

static void
ask_for_offer (void)
{
  hsx_want backlog = { .rank = 1 + pick (5),
                       .needs = { cpu_of (pick (40)), 10, 0 },
                       .tasks = 1 + pick (6) };

  hs_runs_set_backlog (world.runs, pick (3), &backlog, world.now);
}

static void
inject_fault (void)
{
  switch (pick (400))
    {
    case 0:
      hs_target_model_restart (&world.model, world.now);
      world.sequence = 0;
      announce ();
      return;
    case 1:
      start_agent ();
      return;
    case 2:
      hs_runs_entry_lost (world.runs, pick (3), world.now);
      return;
    case 3:
      world.lost_percent = pick (60);
      return;
    case 4:
      world.lost_percent = 0;
      return;
    case 5:
      if (world.n_refs > 0)
        hs_runs_stop (world.runs, pick (3), world.n_refs - 1, world.now);
      return;
    case 6:
      announce ();
      return;
    case 7:
    case 8:
      change_capacity ();
      return;
    case 9:
    case 10:
    case 11:
      ask_for_offer ();
      return;
    default:
      return;
    }
}

/* Ends aren't reported to lost entries; for their launches the count of runs
   shows that none of them still holds resources. */
static void
run_seed (uint32_t seed)
{
  int step;

  memset (&world, 0, sizeof world);
  world.random = prng_seeded (seed);
  world.seed = seed;
  world.capacity = CAPACITY;
  world.now = 100000 * HS_SEC;
  hs_target_model_init (&world.model, world.now);
  start_agent ();
  for (step = 0; step < STEPS; step++)
    {
      world.now += STEP_TIME;
      hs_target_model_advance (&world.model, world.now);
      deliver_orders ();
      if (pick (3) != 0)
        launch ();
      inject_fault ();
      hs_runs_tick (world.runs, world.now);
      if (world.model.cpu_milli > CAPACITY)
        fail_msg ("seed %u step %d: %u of %u thousandths in use", seed, step,
                  world.model.cpu_milli, CAPACITY);
    }
  world.lost_percent = 0;
  for (step = 0; step < 3000; step++)
    {
      world.now += STEP_TIME;
      hs_target_model_advance (&world.model, world.now);
      deliver_orders ();
      hs_runs_tick (world.runs, world.now);
    }
  if (hs_runs_count (world.runs) != 0 || world.model.cpu_milli != 0)
    fail_msg ("seed %u: agent has %u runs left, target uses %u thousandths",
              seed, hs_runs_count (world.runs), world.model.cpu_milli);
  if (hs_runs_target_state (world.runs) != HSX_TARGET_READY)
    fail_msg ("seed %u: target state is %d at the end", seed,
              (int) hs_runs_target_state (world.runs));
  talloc_free (world.ctx);
  world.ctx = NULL;
  hs_target_model_clear (&world.model);
}

static void
capacity_is_never_exceeded_and_every_launch_ends (void **state)
{
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    run_seed (seed);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (capacity_is_never_exceeded_and_every_launch_ends) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
