#include "owner_fixture.h"

#include <string.h>

#include "base/uuid7.h"

#define PARTITIONS 8
#define WALL_START INT64_C (1700000000000)

static void
on_start (void *arg, uint64_t agent, const hsx_start *start)
{
  OwnerFixture *f = arg;
  SentStart *s = talloc_zero (f, SentStart);

  s->agent = agent;
  s->id = talloc_strdup (s, start->key.id);
  s->index = start->key.index;
  s->epoch = start->epoch;
  s->credit = start->credit;
  s->permit_us = start->permit_us;
  s->content = start->key.content;
  g_ptr_array_add (f->starts, s);
}

static void
on_recover (void *arg, uint64_t agent, const hsx_recover_args *args)
{
  OwnerFixture *f = arg;

  (void) args;
  g_array_append_val (f->recover_calls, agent);
}

static void
on_settle (void *arg, uint64_t agent, const hsx_settle_args *args)
{
  OwnerFixture *f = arg;

  (void) args;
  g_array_append_val (f->settle_calls, agent);
}

static void
on_answer (void *arg, HsWaiter waiter, const hsx_answer *answer)
{
  OwnerFixture *f = arg;
  ReceivedAnswer *a = talloc_zero (f, ReceivedAnswer);
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
  g_ptr_array_add (f->answers, a);
}

static void
on_reroute (void *arg, HsWaiter waiter)
{
  OwnerFixture *f = arg;

  g_array_append_val (f->rerouted, waiter);
}

static void
on_claim (void *arg,
          uint32_t part,
          uint64_t epoch,
          const char *customer,
          const char *id,
          const char digest[HSX_DIGEST_SIZE])
{
  OwnerFixture *f = arg;

  (void) part;
  (void) epoch;
  (void) customer;
  (void) digest;
  g_ptr_array_add (f->claims, talloc_strdup (f, id));
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

OwnerFixture *
fixture_new (void)
{
  static const HsOwnerEffects effects
      = { on_start, on_recover, on_settle, on_answer, on_reroute,
          on_claim, on_borrow,  on_lend,   on_measure };
  HsOwnerConfig config
      = { PARTITIONS, 60 * HS_SEC,          HS_SEC, 250 * HS_MSEC, 10 * HS_SEC,
          1 << 20,    UNFINISHED_BYTES_MAX, 1 };
  OwnerFixture *f = talloc_zero (NULL, OwnerFixture);

  f->body_bytes = 4;

  f->now.mono = 1000 * HS_SEC;
  f->now.wall_ms = WALL_START;
  f->starts = g_ptr_array_new ();
  f->answers = g_ptr_array_new ();
  f->claims = g_ptr_array_new ();
  f->args = g_ptr_array_new ();
  f->rerouted = g_array_new (FALSE, FALSE, sizeof (HsWaiter));
  f->recover_calls = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  f->settle_calls = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  f->owner = hs_owner_new (f, &config, &effects, f);
  hs_owner_set_lease (f->owner, f->now.mono + 4 * HS_SEC);
  fixture_set_allowance (f, 100, 1000, 1000);
  return f;
}

void
fixture_free (OwnerFixture *f)
{
  g_ptr_array_unref (f->starts);
  g_ptr_array_unref (f->answers);
  g_ptr_array_unref (f->claims);
  g_ptr_array_unref (f->args);
  g_array_unref (f->rerouted);
  g_array_unref (f->recover_calls);
  g_array_unref (f->settle_calls);
  talloc_free (f);
}

uint32_t
fixture_partition (void)
{
  return hs_partition_of ("c", PARTITIONS);
}

void
fixture_acquire (OwnerFixture *f, uint64_t epoch, uint64_t previous_epoch)
{
  HsOwnedPartition part
      = { fixture_partition (), epoch, previous_epoch, false };

  hs_owner_acquire (f->owner, 1, &part, f->now);
  hs_owner_claims_loaded (f->owner, part.part, f->now);
}

void
fixture_acquire_by_handover (OwnerFixture *f,
                             uint64_t epoch,
                             uint64_t previous_epoch)
{
  HsOwnedPartition part = { fixture_partition (), epoch, previous_epoch, true };

  hs_owner_acquire (f->owner, 1, &part, f->now);
  hs_owner_claims_loaded (f->owner, part.part, f->now);
}

void
fixture_set_member_state (OwnerFixture *f,
                          uint64_t agent,
                          hsx_member_state state)
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
  hs_owner_update_agent (f->owner, &member, f->now);
}

void
fixture_grant (OwnerFixture *f, uint64_t agent, uint32_t generation)
{
  hsx_credit credits[SLOTS] = { 0 };
  hsx_grant_args args = { agent, { SLOTS, credits } };
  uint32_t i;

  for (i = 0; i < SLOTS; i++)
    {
      credits[i].agent = agent;
      credits[i].slot = i;
      credits[i].generation = generation;
      credits[i].stamp_us = f->now.mono;
    }
  hs_owner_grant (f->owner, &args, f->now);
}

void
fixture_add_agent (OwnerFixture *f, uint64_t agent)
{
  fixture_set_member_state (f, agent, HSX_MEMBER_UP);
  hs_owner_agent_visible (f->owner, agent, f->now);
  hs_owner_agent_connected (f->owner, agent, f->now);
  fixture_grant (f, agent, 1);
}

char *
fixture_new_id (OwnerFixture *f, int64_t offset_ms, uint8_t tag)
{
  uint8_t random[HS_UUID7_RANDOM_SIZE] = { tag, tag, tag };
  char *id = talloc_zero_size (f, HS_UUID_SIZE);

  hs_uuid7_format (f->now.wall_ms + offset_ms, random, id);
  return id;
}

static HsWaiter
request (OwnerFixture *f,
         hsx_verb verb,
         const char *id,
         uint32_t n,
         char content)
{
  hsx_forward_args *args = talloc_zero (f, hsx_forward_args);
  HsWaiter waiter = ++f->next_waiter;
  uint32_t i;

  args->verb = verb;
  args->customer = (char *) "c";
  args->id = talloc_strdup (args, id);
  memset (args->digest, content, sizeof args->digest);
  args->tasks.tasks_len = n;
  args->tasks.tasks_val = talloc_zero_array (args, hsx_task, n);
  for (i = 0; i < n; i++)
    {
      args->tasks.tasks_val[i].body.body_val
          = talloc_zero_size (args, f->body_bytes);
      args->tasks.tasks_val[i].body.body_len = f->body_bytes;
      args->tasks.tasks_val[i].needs.memory_mb = 64;
    }
  hs_owner_request (f->owner, waiter, args, f->now);
  return waiter;
}

HsWaiter
fixture_submit (OwnerFixture *f, const char *id, uint32_t n, char content)
{
  return request (f, HSX_SUBMIT, id, n, content);
}

HsWaiter
fixture_cancel (OwnerFixture *f, const char *id)
{
  return request (f, HSX_CANCEL, id, 0, 0);
}

void
fixture_send_result (OwnerFixture *f,
                     const SentStart *start,
                     hsx_outcome outcome,
                     hsx_refusal refusal,
                     const char *body)
{
  hsx_result result = { 0 };
  hsx_result_args args = { { 1, &result } };
  hsx_credit next = start->credit;

  next.generation++;
  next.stamp_us = f->now.mono;
  result.key.part = fixture_partition ();
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
  hs_owner_results (f->owner, start->agent, &args, f->now);
}

const SentStart *
fixture_sent_start (const OwnerFixture *f, guint i)
{
  return i < f->starts->len ? f->starts->pdata[i] : NULL;
}

const ReceivedAnswer *
fixture_answer (const OwnerFixture *f, HsWaiter waiter)
{
  guint i;

  for (i = 0; i < f->answers->len; i++)
    if (((ReceivedAnswer *) f->answers->pdata[i])->waiter == waiter)
      return f->answers->pdata[i];
  return NULL;
}

void
fixture_advance (OwnerFixture *f, HsTime span)
{
  f->now.mono += span;
  f->now.wall_ms += span / HS_MSEC;
  hs_owner_tick (f->owner, f->now);
}

void
fixture_set_allowance (OwnerFixture *f,
                       uint32_t in_flight,
                       uint32_t rate,
                       uint32_t queued)
{
  static int64_t revision = 1;
  HsLists *lists = hs_lists_new (f);
  g_autofree char *json = g_strdup_printf (
      "{\"in_flight\":%u,\"starts_per_s\":%u,\"burst\":%u,\"queued\":%u,"
      "\"tasks_per_job\":390,\"memory_mb\":512,\"accelerators\":0,"
      "\"weight\":1}",
      in_flight, rate, rate, queued);

  hs_lists_apply (lists, HS_LIST_PLANS, "c", "{\"plan\":\"p\"}", revision++,
                  NULL);
  hs_lists_apply (lists, HS_LIST_ALLOWANCES, "p", json, revision++, NULL);
  hs_owner_set_lists (f->owner, lists, f->now);
  talloc_free (lists);
}

hsx_result
fixture_record (char *id, uint32_t index, hsx_outcome outcome)
{
  hsx_result record = { 0 };

  record.key.part = fixture_partition ();
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
fixture_recover_reply (OwnerFixture *f,
                       uint64_t agent,
                       hsx_result *records,
                       u_int n)
{
  hsx_recover_reply reply = { { n, records }, 0, 600 };

  hs_owner_recover_reply (f->owner, agent, &reply, f->now);
}
