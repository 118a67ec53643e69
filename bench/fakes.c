#include "fakes.h"

#include <pthread.h>
#include <semaphore.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <unistd.h>

#include "agent/internal.h"
#include "agent/target_call.h"
#include "base/log.h"

#define ANNOUNCE_TTL (5 * HS_SEC)
#define ANNOUNCE_PERIOD_S 2
#define MEMORY_MB 65536
#define ACCELERATORS 8

/* The stand-in for the local HTTP: an endless announcement. */
struct HsTargetApi
{
  struct tevent_context *ev;
  HsTargetApiHandler handler;
  void *arg;
};

/* The stand-in for a call of a target. */
struct HsTargetCall
{
  HsTargetCallDone done;
  void *arg;
  HsTime began;
};

typedef struct
{
  BenchFakes config;
  HsAgent **agents;
  int wake;
  sem_t answered;
  BenchFakesStats answer;
} Fakes;

static Fakes fakes;

static void *run_thread (void *arg);
static void new_agent (struct tevent_context *ev, uint32_t number);
static void on_wake (struct tevent_context *ev,
                     struct tevent_fd *event,
                     uint16_t flags,
                     void *arg);
static void add_stats (BenchFakesStats *sum, const HsAgent *agent);
static void announce (struct tevent_context *ev,
                      struct tevent_timer *timer,
                      struct timeval now,
                      void *arg);
static void on_run_timer (struct tevent_context *ev,
                          struct tevent_timer *timer,
                          struct timeval now,
                          void *arg);
static void on_run_now (struct tevent_context *ev,
                        struct tevent_immediate *immediate,
                        void *arg);
static void end_call (HsTargetCall *call);

void
bench_fakes_start (const BenchFakes *config)
{
  pthread_t thread;

  fakes.config = *config;
  fakes.wake = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  sem_init (&fakes.answered, 0, 0);
  if (fakes.wake < 0 || pthread_create (&thread, NULL, run_thread, NULL) != 0)
    g_error ("bench: can't start the thread of the agents");
  pthread_detach (thread);
}

BenchFakesStats
bench_fakes_stats (void)
{
  uint64_t one = 1;

  (void) !write (fakes.wake, &one, sizeof one);
  sem_wait (&fakes.answered);
  return fakes.answer;
}

/* These three stand in for src/agent/target_api.c and target_call.c at link
   time; the rest of the agent is the one that ships. */

HsTargetApi *
hs_target_api_new (TALLOC_CTX *ctx,
                   struct tevent_context *ev,
                   const char *listen,
                   const char *key,
                   const HsTargetApiHandler *handler,
                   void *arg,
                   GError **error)
{
  HsTargetApi *api = talloc_zero (ctx, HsTargetApi);

  (void) listen;
  (void) key;
  (void) error;
  api->ev = ev;
  api->handler = *handler;
  api->arg = arg;
  tevent_add_timer (ev, api, tevent_timeval_current_ofs (0, 0), announce, api);
  return api;
}

uint16_t
hs_target_api_port (const HsTargetApi *api)
{
  (void) api;
  return 0;
}

void
hs_target_api_answer_leaves (HsTargetApi *api)
{
  (void) api;
}

HsTargetCall *
hs_target_call (TALLOC_CTX *ctx,
                HsCurl *curl,
                const char *address,
                const hsx_start *start,
                HsTargetCallDone done,
                void *arg)
{
  HsTargetCall *call = talloc_zero (ctx, HsTargetCall);
  struct tevent_context *ev = fakes.agents[0]->ev;
  HsTime run = fakes.config.run;

  (void) curl;
  (void) address;
  (void) start;
  call->done = done;
  call->arg = arg;
  call->began = hs_now ().mono;
  if (run > 0)
    tevent_add_timer (ev, call,
                      tevent_timeval_current_ofs ((uint32_t) (run / HS_SEC),
                                                  (uint32_t) (run % HS_SEC)),
                      on_run_timer, call);
  else
    tevent_schedule_immediate (tevent_create_immediate (call), ev, on_run_now,
                               call);
  return call;
}

static void *
run_thread (void *arg)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  uint32_t i;

  (void) arg;
  hs_log_init (HS_LOG_TEXT, G_LOG_LEVEL_WARNING);
  fakes.agents = talloc_zero_array (ev, HsAgent *, fakes.config.agents);
  for (i = 0; i < fakes.config.agents; i++)
    new_agent (ev, i);
  tevent_add_fd (ev, ev, fakes.wake, TEVENT_FD_READ, on_wake, NULL);
  while (tevent_loop_once (ev) == 0)
    continue;
  return NULL;
}

static void
new_agent (struct tevent_context *ev, uint32_t number)
{
  HsSettings *settings = talloc_zero (ev, HsSettings);
  HsAgentSettings *own = &settings->u.agent;
  g_autoptr (GError) error = NULL;

  settings->role = HS_ROLE_AGENT;
  settings->data_centre = talloc_asprintf (settings, "dc%u", number % 5);
  settings->cluster_key = talloc_strdup (settings, fakes.config.key);
  own->name = talloc_asprintf (settings, "agent%u", number);
  own->target_listen = talloc_strdup (settings, "127.0.0.1:0");
  own->rpc_listen = own->target_listen;
  own->rpc_address = own->target_listen;
  own->rack = talloc_asprintf (settings, "rack%u", number / 10);
  own->entries = fakes.config.entries;
  own->retention = 600 * HS_SEC;
  own->memory_bytes = UINT64_C (16) << 20;
  fakes.agents[number] = hs_agent_new (ev, ev, settings, &error);
  if (fakes.agents[number] == NULL)
    g_error ("bench: agent %u: %s", number, error->message);
}

static void
on_wake (struct tevent_context *ev,
         struct tevent_fd *event,
         uint16_t flags,
         void *arg)
{
  BenchFakesStats sum = { 0 };
  struct rusage used;
  uint64_t count;
  uint32_t i;

  (void) ev;
  (void) event;
  (void) flags;
  (void) arg;
  (void) !read (fakes.wake, &count, sizeof count);
  for (i = 0; i < fakes.config.agents; i++)
    add_stats (&sum, fakes.agents[i]);
  getrusage (RUSAGE_THREAD, &used);
  sum.cpu_us
      = (uint64_t) ((used.ru_utime.tv_sec + used.ru_stime.tv_sec) * HS_SEC
                    + used.ru_utime.tv_usec + used.ru_stime.tv_usec);
  fakes.answer = sum;
  sem_post (&fakes.answered);
}

static void
add_stats (BenchFakesStats *sum, const HsAgent *agent)
{
  const HsRpcStats *rpc = hs_rpc_stats (agent->rpc);
  const HsAgentStats *stats = hs_agent_stats (agent);
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (rpc->sent_by_proc); i++)
    {
      sum->rpc.sent_by_proc[i] += rpc->sent_by_proc[i];
      sum->rpc.received_by_proc[i] += rpc->received_by_proc[i];
    }
  sum->rpc.bytes_sent += rpc->bytes_sent;
  sum->rpc.bytes_received += rpc->bytes_received;
  sum->starts += stats->starts;
  for (i = 0; i < G_N_ELEMENTS (stats->refusals); i++)
    sum->refused += stats->refusals[i];
}

static void
announce (struct tevent_context *ev,
          struct tevent_timer *timer,
          struct timeval now,
          void *arg)
{
  HsTargetApi *api = arg;
  HsTargetAnnouncement announcement = { .address = "127.0.0.1:1",
                                        .slots = fakes.config.slots,
                                        .capacity = { MEMORY_MB, ACCELERATORS },
                                        .ttl = ANNOUNCE_TTL };
  g_autoptr (GError) error = NULL;

  (void) timer;
  (void) now;
  if (!api->handler.announce (api->arg, &announcement, &error))
    g_error ("bench: announcement refused: %s", error->message);
  tevent_add_timer (ev, api, tevent_timeval_current_ofs (ANNOUNCE_PERIOD_S, 0),
                    announce, api);
}

static void
on_run_timer (struct tevent_context *ev,
              struct tevent_timer *timer,
              struct timeval now,
              void *arg)
{
  (void) ev;
  (void) timer;
  (void) now;
  end_call (arg);
}

static void
on_run_now (struct tevent_context *ev,
            struct tevent_immediate *immediate,
            void *arg)
{
  (void) ev;
  (void) immediate;
  end_call (arg);
}

static void
end_call (HsTargetCall *call)
{
  static char body[] = "ok";
  HsTaskCompletion finish = { 0 };

  finish.outcome = HSX_DONE;
  finish.http_status = 200;
  finish.run_us = (uint32_t) (hs_now ().mono - call->began);
  finish.body = (void *) body;
  finish.body_len = 2;
  call->done (call->arg, HS_TARGET_CALL_ANSWERED, &finish);
  talloc_free (call);
}
