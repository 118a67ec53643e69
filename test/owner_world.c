#include "owner_world.h"

#include <string.h>

#include "base/uuid7.h"

#define PARTITIONS 8
#define WALL_START INT64_C (1700000000000)

static void
on_start (void *arg, uint64_t agent, const hsx_start *start)
{
  World *w = arg;
  SentStart *s = talloc_zero (w, SentStart);

  s->agent = agent;
  s->id = talloc_strdup (s, start->key.id);
  s->index = start->key.index;
  s->epoch = start->epoch;
  s->credit = start->credit;
  s->permit_us = start->permit_us;
  s->content = start->key.content;
  g_ptr_array_add (w->starts, s);
}

static void
on_recover (void *arg, uint64_t agent, const hsx_recover_args *args)
{
  World *w = arg;

  (void) args;
  g_array_append_val (w->recovers, agent);
}

static void
on_settle (void *arg, uint64_t agent, const hsx_settle_args *args)
{
  World *w = arg;

  (void) args;
  g_array_append_val (w->settles, agent);
}

static void
on_answer (void *arg, HsWaiter waiter, const hsx_answer *answer)
{
  World *w = arg;
  Answered *a = talloc_zero (w, Answered);
  u_int i;

  a->waiter = waiter;
  a->state = answer->state;
  a->kind = answer->kind;
  a->not_run = answer->not_run;
  a->n = answer->tasks.tasks_len;
  for (i = 0; i < a->n; i++)
    a->tasks[i] = answer->tasks.tasks_val[i].state;
  if (a->n > 0)
    a->first_body
        = talloc_strndup (a,
                          answer->tasks.tasks_val[0].body.body_val != NULL
                              ? answer->tasks.tasks_val[0].body.body_val
                              : "",
                          answer->tasks.tasks_val[0].body.body_len);
  g_ptr_array_add (w->answers, a);
}

static void
on_reroute (void *arg, HsWaiter waiter)
{
  World *w = arg;

  g_array_append_val (w->rerouted, waiter);
}

static void
on_claim (void *arg,
          uint32_t part,
          uint64_t epoch,
          const char *customer,
          const char *id,
          const char digest[HSX_DIGEST_SIZE])
{
  World *w = arg;

  (void) part;
  (void) epoch;
  (void) customer;
  (void) digest;
  g_ptr_array_add (w->claims, talloc_strdup (w, id));
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

World *
world_new (void)
{
  static const HsOwnerEffects effects
      = { on_start, on_recover, on_settle, on_answer, on_reroute,
          on_claim, on_borrow,  on_lend,   on_measure };
  HsOwnerConfig config = { PARTITIONS,  60 * HS_SEC, HS_SEC, 250 * HS_MSEC,
                           10 * HS_SEC, 1 << 20,     1 };
  World *w = talloc_zero (NULL, World);

  w->now.mono = 1000 * HS_SEC;
  w->now.wall_ms = WALL_START;
  w->starts = g_ptr_array_new ();
  w->answers = g_ptr_array_new ();
  w->claims = g_ptr_array_new ();
  w->args = g_ptr_array_new ();
  w->rerouted = g_array_new (FALSE, FALSE, sizeof (HsWaiter));
  w->recovers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  w->settles = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  w->owner = hs_owner_new (w, &config, &effects, w);
  hs_owner_set_lease (w->owner, w->now.mono + 4 * HS_SEC);
  world_allow (w, 100, 1000, 1000);
  return w;
}

void
world_free (World *w)
{
  g_ptr_array_unref (w->starts);
  g_ptr_array_unref (w->answers);
  g_ptr_array_unref (w->claims);
  g_ptr_array_unref (w->args);
  g_array_unref (w->rerouted);
  g_array_unref (w->recovers);
  g_array_unref (w->settles);
  talloc_free (w);
}

uint32_t
world_part (void)
{
  return hs_partition_of ("c", PARTITIONS);
}

void
world_own (World *w, uint64_t epoch, uint64_t previous)
{
  HsOwnedPart part = { world_part (), epoch, previous, false };

  hs_owner_own (w->owner, 1, &part, w->now);
  hs_owner_claims_loaded (w->owner, part.part, w->now);
}

void
world_own_handed (World *w, uint64_t epoch, uint64_t previous)
{
  HsOwnedPart part = { world_part (), epoch, previous, true };

  hs_owner_own (w->owner, 1, &part, w->now);
  hs_owner_claims_loaded (w->owner, part.part, w->now);
}

void
world_member (World *w, uint64_t agent, hsx_member_state state)
{
  hsx_member member = { 0 };

  member.incarnation = agent;
  member.revision = 1;
  member.state = state;
  member.address = (char *) "127.0.0.1:1";
  member.data_centre = (char *) "a";
  member.rack = (char *) "r";
  member.slots = SLOTS;
  member.capacity.memory_mb = 1024;
  hs_owner_agent (w->owner, &member, w->now);
}

void
world_grant (World *w, uint64_t agent, uint32_t generation)
{
  hsx_credit credits[SLOTS] = { 0 };
  hsx_grant_args args = { agent, { SLOTS, credits } };
  uint32_t i;

  for (i = 0; i < SLOTS; i++)
    {
      credits[i].agent = agent;
      credits[i].slot = i;
      credits[i].generation = generation;
      credits[i].stamp_us = w->now.mono;
    }
  hs_owner_granted (w->owner, &args, w->now);
}

void
world_agent (World *w, uint64_t agent)
{
  world_member (w, agent, HSX_MEMBER_UP);
  hs_owner_agent_introduced (w->owner, agent, w->now);
  hs_owner_agent_up (w->owner, agent, w->now);
  world_grant (w, agent, 1);
}

char *
world_id (World *w, int64_t offset_ms, uint8_t tag)
{
  uint8_t random[HS_UUID7_RANDOM_SIZE] = { tag, tag, tag };
  char *id = talloc_zero_size (w, HS_UUID_SIZE);

  hs_uuid7_format (w->now.wall_ms + offset_ms, random, id);
  return id;
}

static HsWaiter
request (World *w, hsx_verb verb, const char *id, uint32_t n, char content)
{
  hsx_forward_args *args = talloc_zero (w, hsx_forward_args);
  HsWaiter waiter = ++w->next_waiter;
  uint32_t i;

  args->verb = verb;
  args->customer = (char *) "c";
  args->id = talloc_strdup (args, id);
  memset (args->digest, content, sizeof args->digest);
  args->tasks.tasks_len = n;
  args->tasks.tasks_val = talloc_zero_array (args, hsx_task, n);
  for (i = 0; i < n; i++)
    {
      args->tasks.tasks_val[i].body.body_val = talloc_strdup (args, "body");
      args->tasks.tasks_val[i].body.body_len = 4;
      args->tasks.tasks_val[i].needs.memory_mb = 64;
    }
  hs_owner_request (w->owner, waiter, args, w->now);
  return waiter;
}

HsWaiter
world_submit (World *w, const char *id, uint32_t n, char content)
{
  return request (w, HSX_SUBMIT, id, n, content);
}

HsWaiter
world_cancel (World *w, const char *id)
{
  return request (w, HSX_CANCEL, id, 0, 0);
}

void
world_result (World *w,
              const SentStart *start,
              hsx_outcome outcome,
              hsx_refusal refusal,
              const char *body)
{
  hsx_result result = { 0 };
  hsx_result_args args = { { 1, &result } };
  hsx_credit next = start->credit;

  next.generation++;
  next.stamp_us = w->now.mono;
  result.key.part = world_part ();
  result.key.customer = (char *) "c";
  result.key.id = start->id;
  result.key.index = start->index;
  result.outcome = outcome;
  result.refusal = refusal;
  result.epoch = outcome == HSX_REFUSED ? start->epoch : 0;
  result.http_status = 200;
  result.run_us = 1000;
  result.body.body_val = (char *) (uintptr_t) body;
  result.body.body_len = (u_int) strlen (body);
  result.next = &next;
  hs_owner_results (w->owner, start->agent, &args, w->now);
}

const SentStart *
world_start (const World *w, guint i)
{
  return i < w->starts->len ? w->starts->pdata[i] : NULL;
}

const Answered *
world_answer (const World *w, HsWaiter waiter)
{
  guint i;

  for (i = 0; i < w->answers->len; i++)
    if (((Answered *) w->answers->pdata[i])->waiter == waiter)
      return w->answers->pdata[i];
  return NULL;
}

void
world_pass (World *w, HsTime span)
{
  w->now.mono += span;
  w->now.wall_ms += span / HS_MSEC;
  hs_owner_tick (w->owner, w->now);
}

void
world_allow (World *w, uint32_t in_flight, uint32_t rate, uint32_t queued)
{
  static int64_t revision = 1;
  HsLists *lists = hs_lists_new (w);
  g_autofree char *json = g_strdup_printf (
      "{\"in_flight\":%u,\"starts_per_s\":%u,\"burst\":%u,\"queued\":%u,"
      "\"tasks_per_job\":390,\"memory_mb\":512,\"accelerators\":0,"
      "\"weight\":1}",
      in_flight, rate, rate, queued);

  hs_lists_apply (lists, HS_LIST_PLANS, "c", "{\"plan\":\"p\"}", revision++,
                  NULL);
  hs_lists_apply (lists, HS_LIST_ALLOWANCES, "p", json, revision++, NULL);
  hs_owner_set_lists (w->owner, lists, w->now);
  talloc_free (lists);
}

hsx_result
world_record (char *id, uint32_t index, hsx_outcome outcome)
{
  hsx_result record = { 0 };

  record.key.part = world_part ();
  record.key.customer = (char *) "c";
  record.key.id = id;
  record.key.index = index;
  memset (&record.key.content, 'x', sizeof record.key.content);
  record.outcome = outcome;
  record.http_status = 200;
  if (outcome == HSX_DONE)
    {
      record.body.body_val = (char *) "kept";
      record.body.body_len = 4;
    }
  return record;
}

void
world_recovered (World *w, uint64_t agent, hsx_result *records, u_int n)
{
  hsx_recover_reply reply = { { n, records }, 0, 600 };

  hs_owner_recovered (w->owner, agent, &reply, w->now);
}
