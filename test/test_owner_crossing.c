/* Two owners and two agents, with the admission, the start log and the slots of
   an agent as they are, and two connections between each two, of which each
   keeps its own order only. Messages cross in random order, with fixed seeds,
   while the partition goes from one owner to the other. No task starts twice,
   and none is answered "not run" that has started. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "agent/admission.h"
#include "base/uuid7.h"
#include "owner/owner.h"
#include "prng.h"

#define PARTITIONS 1
#define OWNERS 2
#define AGENTS 2
#define CONNS 2
#define JOBS 40
#define SLOTS 2
#define SEEDS 4000
#define STEPS 1500
#define LEASE (2 * HS_SEC)
#define WALL_START INT64_C (1700000000000)

typedef enum
{
  TO_AGENT_START,
  TO_AGENT_RECOVER,
  TO_AGENT_SETTLE,
  TO_OWNER_RESULT,
  TO_OWNER_GRANT,
  TO_OWNER_RECOVER,
  TO_OWNER_SETTLE
} Kind;

typedef struct
{
  Kind kind;
  uint32_t conn;
  char *bytes;
  u_int n;
} Message;

typedef struct
{
  HsRecordHandle handle;
  hsx_start start; /* The strings are those of the job. */
  uint32_t job;
  bool ended;
} Run;

typedef struct
{
  HsStartLog *log;
  HsSlots *slots;
  HsAdmission *admission;
  uint32_t receiver; /* The owner that gets the results. */
  Run runs[64];
  uint32_t n_runs;
} AgentModel;

typedef struct World World;

typedef struct
{
  World *world;
  uint32_t index;
  HsOwner *owner;
  bool owns;
  HsTime lease_until;
  HsWaiter waiters[JOBS]; /* 0: not submitted here, or rerouted. */
} OwnerModel;

struct World
{
  TALLOC_CTX *ctx;
  uint32_t seed;
  Prng random;
  HsNow now;
  uint64_t epoch;
  uint32_t current; /* The owner that the record names. */
  OwnerModel owners[OWNERS];
  AgentModel agents[AGENTS];
  GQueue queues[OWNERS][AGENTS][2]; /* Message; to the agent, to the owner. */
  char ids[JOBS][HS_UUID_SIZE];
  uint32_t starts[JOBS];
  HsWaiter last_waiter;
  bool slow[OWNERS][AGENTS][2][CONNS]; /* Seldom delivers. */
};

/* Counts of the situations that the walks reached; none may be zero. */
static struct
{
  uint32_t starts;
  uint32_t refusals;
  uint32_t takeovers;
  uint32_t handovers;
  uint32_t overtaken;
  uint32_t done;
} reached;

static const xdrproc_t CODECS[]
    = { (xdrproc_t) xdr_hsx_start_args,  (xdrproc_t) xdr_hsx_recover_args,
        (xdrproc_t) xdr_hsx_settle_args, (xdrproc_t) xdr_hsx_result_args,
        (xdrproc_t) xdr_hsx_grant_args,  (xdrproc_t) xdr_hsx_recover_reply,
        (xdrproc_t) xdr_hsx_settle_reply };

static uint64_t
agent_id (uint32_t agent)
{
  return 100 + agent;
}

static void
push (World *w,
      uint32_t owner,
      uint32_t agent,
      Kind kind,
      uint32_t conn,
      const void *value)
{
  Message *message = g_new0 (Message, 1);
  void *source = (void *) (uintptr_t) value;
  XDR xdrs;

  message->kind = kind;
  message->conn = conn;
  message->n = (u_int) xdr_sizeof (CODECS[kind], source);
  message->bytes = g_malloc (message->n);
  xdrmem_create (&xdrs, message->bytes, message->n, XDR_ENCODE);
  assert_true (CODECS[kind](&xdrs, source));
  xdr_destroy (&xdrs);
  g_queue_push_tail (&w->queues[owner][agent][kind >= TO_OWNER_RESULT],
                     message);
}

static uint32_t
any_conn (World *w)
{
  return prng_below (&w->random, CONNS);
}

static void
on_start (void *arg, uint64_t agent, const hsx_start *start)
{
  OwnerModel *o = arg;
  hsx_start_args args = { { 1, (hsx_start *) (uintptr_t) start } };

  push (o->world, o->index, (uint32_t) (agent - 100), TO_AGENT_START,
        any_conn (o->world), &args);
}

static void
on_recover (void *arg, uint64_t agent, const hsx_recover_args *args)
{
  OwnerModel *o = arg;

  push (o->world, o->index, (uint32_t) (agent - 100), TO_AGENT_RECOVER,
        any_conn (o->world), args);
}

static void
on_settle (void *arg, uint64_t agent, const hsx_settle_args *args)
{
  OwnerModel *o = arg;

  push (o->world, o->index, (uint32_t) (agent - 100), TO_AGENT_SETTLE,
        any_conn (o->world), args);
}

static void
on_answer (void *arg, HsWaiter waiter, const hsx_answer *answer)
{
  OwnerModel *o = arg;
  uint32_t j;

  for (j = 0; j < JOBS; j++)
    {
      if (o->waiters[j] != waiter)
        continue;
      o->waiters[j] = 0;
      if (answer->tasks.tasks_len == 0)
        assert_false (answer->not_run && o->world->starts[j] > 0);
      else
        {
          hsx_task_state state = answer->tasks.tasks_val[0].state;

          assert_false (state == HSX_TASK_NOT_RUN && o->world->starts[j] > 0);
          assert_false (state == HSX_TASK_DONE && o->world->starts[j] == 0);
          reached.done += state == HSX_TASK_DONE;
        }
    }
}

static void
on_reroute (void *arg, HsWaiter waiter)
{
  OwnerModel *o = arg;
  uint32_t j;

  for (j = 0; j < JOBS; j++)
    if (o->waiters[j] == waiter)
      o->waiters[j] = 0;
}

static void
on_claim (void *arg,
          uint32_t part,
          uint64_t epoch,
          const char *customer,
          const char *id,
          const char digest[HSX_DIGEST_SIZE])
{
  (void) arg;
  (void) part;
  (void) epoch;
  (void) customer;
  (void) id;
  (void) digest;
}

static void
on_borrow (void *arg, uint64_t peer, const hsx_borrow_args *args)
{
  (void) arg;
  (void) peer;
  (void) args;
}

static void
on_lend (void *arg, uint64_t peer, const hsx_borrow_reply *reply)
{
  (void) arg;
  (void) peer;
  (void) reply;
}

static void
on_measure (void *arg,
            const char *customer,
            HsTime queued,
            HsTime run,
            HsTime whole)
{
  (void) arg;
  (void) customer;
  (void) queued;
  (void) run;
  (void) whole;
}

static void
send_grants (World *w, uint32_t agent)
{
  AgentModel *a = &w->agents[agent];
  hsx_credit credits[HS_SLOTS_MAX];
  hsx_grant_args args
      = { .agent = agent_id (agent), .credits.credits_val = credits };
  uint64_t owner;

  hs_slots_distribute (a->slots, w->now.mono);
  while ((owner
          = hs_slots_next_grant (a->slots, credits, &args.credits.credits_len))
         != 0)
    push (w, (uint32_t) owner - 1, agent, TO_OWNER_GRANT, any_conn (w), &args);
}

static void
send_result (World *w, uint32_t agent, uint32_t owner, hsx_result *result)
{
  hsx_result_args args = { { 1, result } };

  push (w, owner, agent, TO_OWNER_RESULT, any_conn (w), &args);
}

static uint32_t
find_job (const World *w, const char *id)
{
  uint32_t j;

  for (j = 0; j < JOBS && strcmp (w->ids[j], id) != 0; j++)
    continue;
  assert_true (j < JOBS);
  return j;
}

static void
agent_start (World *w, uint32_t agent, uint32_t owner, const hsx_start *start)
{
  AgentModel *a = &w->agents[agent];
  HsAdmissionTarget target = { .capacity = { 1024, 0 } };
  uint32_t job = find_job (w, start->key.id);
  hsx_result result = { 0 };
  hsx_credit next;
  hsx_refusal refusal
      = hs_admission_check (a->admission, &target, start, w->now.mono);
  Run *run;

  if (refusal != HSX_REFUSAL_NONE)
    {
      reached.refusals++;
      result.key = start->key;
      result.outcome = HSX_REFUSED;
      if (refusal == HSX_REFUSAL_DUPLICATE)
        hs_start_log_get_result (
            a->log, hs_start_log_find (a->log, &start->key), &result);
      result.refusal = refusal;
      result.epoch = start->epoch;
      if (hs_slots_credit_is_valid (a->slots, &start->credit)
          && hs_slots_regrant (a->slots, start->credit.slot, owner + 1,
                               w->now.mono, &next))
        result.next = &next;
      send_result (w, agent, owner, &result);
      return;
    }
  assert_true (a->n_runs < G_N_ELEMENTS (a->runs));
  run = &a->runs[a->n_runs++];
  run->start = *start;
  run->start.key.customer = (char *) "c";
  run->start.key.id = w->ids[job];
  run->job = job;
  run->handle = hs_start_log_add_start (a->log, &run->start.key, w->now.mono);
  hs_slots_occupy (a->slots, &start->credit, owner + 1, w->now.mono);
  a->receiver = owner;
  w->starts[job]++;
  reached.starts++;
  if (w->starts[job] > 1)
    fail_msg ("seed %u: a task was started twice", w->seed);
}

/* A run ends, or its target can't be reached: then it hasn't started. */
static void
end_run (World *w, uint32_t agent, bool unsent)
{
  static const HsTaskCompletion completion
      = { .outcome = HSX_DONE, .http_status = 200 };
  AgentModel *a = &w->agents[agent];
  hsx_result result = { 0 };
  hsx_credit next;
  uint32_t r;

  for (r = 0; r < a->n_runs && a->runs[r].ended; r++)
    continue;
  if (r == a->n_runs)
    return;
  a->runs[r].ended = true;
  if (unsent)
    {
      result.key = a->runs[r].start.key;
      result.outcome = HSX_REFUSED;
      result.refusal = HSX_REFUSAL_TARGET;
      result.epoch = a->runs[r].start.epoch;
      w->starts[a->runs[r].job]--;
    }
  else
    {
      hs_start_log_finish (a->log, a->runs[r].handle, &completion);
      hs_start_log_get_result (a->log, a->runs[r].handle, &result);
    }
  if (hs_slots_release (a->slots, a->runs[r].start.credit.slot, a->receiver + 1,
                        w->now.mono, &next))
    result.next = &next;
  send_result (w, agent, a->receiver, &result);
  if (unsent)
    hs_start_log_remove (a->log, a->runs[r].handle);
}

static void
agent_recover (World *w,
               uint32_t agent,
               uint32_t owner,
               uint32_t conn,
               const hsx_recover_args *args)
{
  AgentModel *a = &w->agents[agent];
  hsx_result records[JOBS];
  hsx_recover_reply reply = { .records.records_val = records };
  bool parts[HSX_PARTS_MAX] = { false };
  HsRecordHandle handle = 0;
  u_int i;

  reply.remembers_s = hs_start_log_retention_s (a->log);
  for (i = 0; i < args->parts.parts_len; i++)
    if (hs_admission_raise_epoch (a->admission, args->parts.parts_val[i].part,
                                  args->parts.parts_val[i].epoch))
      {
        parts[args->parts.parts_val[i].part] = true;
        a->receiver = owner;
      }
    else
      reply.remembers_s = 0;
  while ((handle = hs_start_log_next (a->log, handle, parts)) != 0)
    hs_start_log_get_result (a->log, handle,
                             &records[reply.records.records_len++]);
  push (w, owner, agent, TO_OWNER_RECOVER, conn, &reply);
}

static void
agent_settle (World *w,
              uint32_t agent,
              uint32_t owner,
              uint32_t conn,
              const hsx_settle_args *args)
{
  AgentModel *a = &w->agents[agent];
  hsx_result results[HSX_BATCH_MAX];
  hsx_settle_reply reply = { { args->keys.keys_len, results } };
  u_int i;

  for (i = 0; i < args->keys.keys_len; i++)
    {
      const hsx_task_key *key = &args->keys.keys_val[i];
      HsRecordHandle handle = hs_start_log_find (a->log, key);

      if (handle == 0)
        handle = hs_start_log_add_fence (a->log, key, w->now.mono);
      hs_start_log_get_result (a->log, handle, &results[i]);
    }
  push (w, owner, agent, TO_OWNER_SETTLE, conn, &reply);
}

/* Delivers the oldest message of one connection and direction. */
static void
deliver (World *w, uint32_t owner, uint32_t agent, uint32_t way, uint32_t conn)
{
  GQueue *queue = &w->queues[owner][agent][way];
  HsOwner *o = w->owners[owner].owner;
  GList *link = queue->head;
  Message *message;
  XDR xdrs;
  union
  {
    hsx_start_args start;
    hsx_recover_args recover;
    hsx_settle_args settle;
    hsx_result_args result;
    hsx_grant_args grant;
    hsx_recover_reply recover_reply;
    hsx_settle_reply settle_reply;
  } u = { 0 };

  while (link != NULL && ((Message *) link->data)->conn != conn)
    link = link->next;
  if (link == NULL)
    return;
  reached.overtaken += link != queue->head;
  message = link->data;
  g_queue_delete_link (queue, link);
  xdrmem_create (&xdrs, message->bytes, message->n, XDR_DECODE);
  assert_true (CODECS[message->kind](&xdrs, &u));
  xdr_destroy (&xdrs);
  switch (message->kind)
    {
    case TO_AGENT_START:
      agent_start (w, agent, owner, &u.start.starts.starts_val[0]);
      break;
    case TO_AGENT_RECOVER:
      agent_recover (w, agent, owner, conn, &u.recover);
      break;
    case TO_AGENT_SETTLE:
      agent_settle (w, agent, owner, conn, &u.settle);
      break;
    case TO_OWNER_RESULT:
      hs_owner_results (o, agent_id (agent), &u.result, w->now);
      break;
    case TO_OWNER_GRANT:
      hs_owner_grant (o, &u.grant, w->now);
      break;
    case TO_OWNER_RECOVER:
      hs_owner_recover_reply (o, agent_id (agent), &u.recover_reply, w->now);
      break;
    case TO_OWNER_SETTLE:
      hs_owner_settle_reply (o, agent_id (agent), &u.settle_reply, w->now);
      break;
    }
  xdr_free (CODECS[message->kind], &u);
  g_free (message->bytes);
  g_free (message);
}

static void
submit (World *w, uint32_t j)
{
  OwnerModel *o = &w->owners[w->current];
  hsx_forward_args *args;

  if (!o->owns || o->waiters[j] != 0)
    return;
  if (w->ids[j][0] == '\0')
    {
      uint8_t tag = (uint8_t) (j + 1);
      uint8_t random[HS_UUID7_RANDOM_SIZE] = { tag, tag, tag };

      hs_uuid7_format (w->now.wall_ms, random, w->ids[j]);
    }
  args = talloc_zero (w->ctx, hsx_forward_args);
  args->verb = HSX_SUBMIT;
  args->customer = (char *) "c";
  args->id = w->ids[j];
  args->tasks.tasks_len = 1;
  args->tasks.tasks_val = talloc_zero_array (args, hsx_task, 1);
  o->waiters[j] = ++w->last_waiter;
  hs_owner_request (o->owner, o->waiters[j], args, w->now);
}

static void
set_lease (OwnerModel *o, HsTime until)
{
  o->lease_until = until;
  hs_owner_set_lease (o->owner, until);
}

static void
release (World *w, OwnerModel *o)
{
  o->owns = false;
  hs_owner_release (o->owner, 0, w->now);
}

static void
acquire (World *w, uint32_t owner, bool handed_over)
{
  OwnerModel *o = &w->owners[owner];
  HsOwnedPartition part = { 0, w->epoch + 1, w->epoch, handed_over };

  w->epoch++;
  w->current = owner;
  o->owns = true;
  set_lease (o, w->now.mono + LEASE);
  hs_owner_acquire (o->owner, 1, &part, w->now);
  hs_owner_claims_loaded (o->owner, 0, w->now);
}

/* The lease of the owner ends, and the other one takes over. */
static void
take_over (World *w)
{
  OwnerModel *old = &w->owners[w->current];

  if (w->now.mono < old->lease_until)
    {
      w->now.wall_ms += (old->lease_until - w->now.mono) / HS_MSEC;
      w->now.mono = old->lease_until;
    }
  release (w, old);
  acquire (w, 1 - w->current, false);
  reached.takeovers++;
}

static void
hand_over (World *w)
{
  OwnerModel *from = &w->owners[w->current];
  OwnerModel *to = &w->owners[1 - w->current];
  TALLOC_CTX *memory = talloc_new (w->ctx);
  hsx_handover_args *messages;
  size_t n;
  size_t i;

  if (!hs_owner_is_serving (from->owner, 0))
    return;
  hs_owner_freeze (from->owner, 0);
  messages = hs_owner_export (from->owner, memory, 0, w->now, &n);
  for (i = 0; i < n; i++)
    assert_true (hs_owner_import (to->owner, &messages[i], w->now));
  release (w, from);
  acquire (w, 1 - w->current, true);
  talloc_free (memory);
  reached.handovers++;
}

static void
advance (World *w, HsTime span)
{
  uint32_t o;

  w->now.mono += span;
  w->now.wall_ms += span / HS_MSEC;
  if (w->owners[w->current].lease_until > w->now.mono)
    set_lease (&w->owners[w->current], w->now.mono + LEASE);
  for (o = 0; o < OWNERS; o++)
    hs_owner_tick (w->owners[o].owner, w->now);
}

static void
random_delivery (World *w, uint32_t agent)
{
  uint32_t owner = prng_below (&w->random, OWNERS);
  uint32_t way = prng_below (&w->random, 2);
  uint32_t conn = any_conn (w);

  if (!w->slow[owner][agent][way][conn] || prng_below (&w->random, 200) == 0)
    deliver (w, owner, agent, way, conn);
}

static void
step (World *w)
{
  uint32_t agent = prng_below (&w->random, AGENTS);

  switch (prng_below (&w->random, 60))
    {
    case 0:
      if (prng_below (&w->random, 4) == 0)
        take_over (w);
      return;
    case 1:
      if (prng_below (&w->random, 2) == 0)
        hand_over (w);
      return;
    case 2:
    case 3:
    case 4:
      advance (w, (HsTime) prng_below (&w->random, 80) * HS_MSEC);
      return;
    case 5:
    case 6:
    case 7:
    case 8:
      submit (w, prng_below (&w->random, JOBS));
      return;
    case 9:
    case 10:
    case 11:
      send_grants (w, agent);
      return;
    case 12:
    case 13:
      end_run (w, agent, prng_below (&w->random, 3) == 0);
      return;
    default:
      random_delivery (w, agent);
      return;
    }
}

static void
init_owner (World *w, uint32_t i)
{
  static const HsOwnerEffects effects
      = { on_start, on_recover, on_settle, on_answer, on_reroute,
          on_claim, on_borrow,  on_lend,   on_measure };
  HsOwnerConfig config = { PARTITIONS,
                           600 * HS_SEC,
                           100 * HS_MSEC,
                           10 * HS_MSEC,
                           60 * HS_SEC,
                           1 << 20,
                           0,
                           i };
  OwnerModel *o = &w->owners[i];
  HsLists *lists = hs_lists_new (w->ctx);
  uint32_t a;

  o->world = w;
  o->index = i;
  o->owner = hs_owner_new (w->ctx, &config, &effects, o);
  hs_lists_apply (lists, HS_LIST_PLANS, "c", "{\"plan\":\"p\"}", 1, NULL);
  hs_lists_apply (lists, HS_LIST_ALLOWANCES, "p",
                  "{\"in_flight\":100,\"starts_per_s\":1000,\"burst\":1000,"
                  "\"queued\":1000,\"tasks_per_job\":10,\"memory_mb\":512,"
                  "\"accelerators\":0,\"weight\":1}",
                  2, NULL);
  hs_owner_set_lists (o->owner, lists, w->now);
  for (a = 0; a < AGENTS; a++)
    {
      hsx_member member = { .incarnation = agent_id (a),
                            .revision = 1,
                            .state = HSX_MEMBER_UP,
                            .address = (char *) "127.0.0.1:1",
                            .data_centre = (char *) "a",
                            .rack = (char *) "r",
                            .slots = SLOTS,
                            .capacity = { 1024, 0 } };

      hs_owner_update_agent (o->owner, &member, w->now);
      hs_owner_agent_visible (o->owner, agent_id (a), w->now);
      hs_owner_agent_connected (o->owner, agent_id (a), w->now);
    }
}

static World *
world_new (uint32_t seed)
{
  World *w = g_new0 (World, 1);
  uint32_t i;

  w->ctx = talloc_new (NULL);
  w->seed = seed;
  w->random = prng_seeded (seed);
  w->now.mono = 1000 * HS_SEC;
  w->now.wall_ms = WALL_START;
  for (i = 0; i < AGENTS; i++)
    {
      AgentModel *a = &w->agents[i];

      a->log = hs_start_log_new (w->ctx, 600 * HS_SEC, 1 << 20);
      a->slots = hs_slots_new (w->ctx, agent_id (i));
      a->admission = hs_admission_new (w->ctx, a->log, a->slots);
      hs_slots_set_count (a->slots, SLOTS);
      hs_slots_add_entry (a->slots, 1);
      hs_slots_add_entry (a->slots, 2);
    }
  for (i = 0; i < OWNERS; i++)
    init_owner (w, i);
  for (i = 0; i < OWNERS * AGENTS * 2 * CONNS; i++)
    (&w->slow[0][0][0][0])[i] = prng_below (&w->random, 5) == 0;
  w->epoch = 1;
  acquire (w, 0, false);
  return w;
}

static void
free_message (gpointer message)
{
  g_free (((Message *) message)->bytes);
  g_free (message);
}

static void
world_free (World *w)
{
  uint32_t o;
  uint32_t a;
  uint32_t way;

  for (o = 0; o < OWNERS; o++)
    for (a = 0; a < AGENTS; a++)
      for (way = 0; way < 2; way++)
        g_queue_clear_full (&w->queues[o][a][way], free_message);
  talloc_free (w->ctx);
  g_free (w);
}

static void
no_task_starts_twice_when_messages_cross (void **state)
{
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      World *w = world_new (seed);
      uint32_t i;

      for (i = 0; i < STEPS; i++)
        step (w);
      world_free (w);
    }
  assert_true (reached.starts > 0);
  assert_true (reached.refusals > 0);
  assert_true (reached.takeovers > 0);
  assert_true (reached.handovers > 0);
  assert_true (reached.overtaken > 0);
  assert_true (reached.done > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (no_task_starts_twice_when_messages_cross),
  };

  return cmocka_run_group_tests_name ("owner crossing", tests, NULL, NULL);
}
