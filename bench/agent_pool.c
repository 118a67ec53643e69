#include "agent_pool.h"

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

/* Replaces the HTTP interface for targets: a target that announces itself
   for ever. */
struct HsTargetApi
{
  struct tevent_context *ev;
  HsTargetApiHandler handler;
  void *arg;
};

/* Replaces the HTTP request to a target. */
struct HsTargetCall
{
  HsTargetCallDone done;
  void *arg;
  HsTime started_at;
};

typedef struct
{
  BenchAgentPoolConfig config;
  HsAgent **agents;
  int stats_request_fd;
  sem_t stats_ready;
  BenchAgentPoolStats stats;
} AgentPool;

static AgentPool pool;

static void *run_agents (void *arg);
static void add_agent (struct tevent_context *ev, uint32_t number);
static void on_stats_request (struct tevent_context *ev,
                              struct tevent_fd *event,
                              uint16_t flags,
                              void *arg);
static void add_agent_stats (BenchAgentPoolStats *sum, const HsAgent *agent);
static void announce_target (struct tevent_context *ev,
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
static void complete_call (HsTargetCall *call);

void
bench_agent_pool_start (const BenchAgentPoolConfig *config)
{
  pthread_t thread;

  pool.config = *config;
  pool.stats_request_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  sem_init (&pool.stats_ready, 0, 0);
  if (pool.stats_request_fd < 0
      || pthread_create (&thread, NULL, run_agents, NULL) != 0)
    g_error ("bench: cannot start the thread of the agents");
  pthread_detach (thread);
}

BenchAgentPoolStats
bench_agent_pool_stats (void)
{
  uint64_t one = 1;

  (void) !write (pool.stats_request_fd, &one, sizeof one);
  sem_wait (&pool.stats_ready);
  return pool.stats;
}

/* The functions from here to hs_target_call() replace src/agent/target_api.c
   and src/agent/target_call.c at link time. The rest of the agent is the
   real one. */

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
  tevent_add_timer (ev, api, tevent_timeval_current_ofs (0, 0), announce_target,
                    api);
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
  struct tevent_context *ev = pool.agents[0]->ev;
  HsTime run = pool.config.run_time;

  (void) curl;
  (void) address;
  (void) start;
  call->done = done;
  call->arg = arg;
  call->started_at = hs_now ().mono;
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
run_agents (void *arg)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  uint32_t i;

  (void) arg;
  hs_log_init (HS_LOG_TEXT, G_LOG_LEVEL_WARNING);
  pool.agents = talloc_zero_array (ev, HsAgent *, pool.config.agents);
  for (i = 0; i < pool.config.agents; i++)
    add_agent (ev, i);
  tevent_add_fd (ev, ev, pool.stats_request_fd, TEVENT_FD_READ,
                 on_stats_request, NULL);
  while (tevent_loop_once (ev) == 0)
    continue;
  return NULL;
}

static void
add_agent (struct tevent_context *ev, uint32_t number)
{
  HsSettings *settings = talloc_zero (ev, HsSettings);
  HsAgentSettings *agent = &settings->u.agent;
  g_autoptr (GError) error = NULL;

  settings->role = HS_ROLE_AGENT;
  settings->data_centre = talloc_asprintf (settings, "dc%u", number % 5);
  settings->cluster_key = talloc_strdup (settings, pool.config.key);
  agent->name = talloc_asprintf (settings, "agent%u", number);
  agent->target_listen = talloc_strdup (settings, "127.0.0.1:0");
  agent->rpc_listen = agent->target_listen;
  agent->rpc_address = agent->target_listen;
  agent->rack = talloc_asprintf (settings, "rack%u", number / 10);
  agent->entries = pool.config.entries;
  agent->retention = 600 * HS_SEC;
  agent->memory_bytes = UINT64_C (16) << 20;
  pool.agents[number] = hs_agent_new (ev, ev, settings, &error);
  if (pool.agents[number] == NULL)
    g_error ("bench: cannot start agent %u: %s", number, error->message);
}

static void
on_stats_request (struct tevent_context *ev,
                  struct tevent_fd *event,
                  uint16_t flags,
                  void *arg)
{
  BenchAgentPoolStats sum = { 0 };
  struct rusage used;
  uint64_t count;
  uint32_t i;

  (void) ev;
  (void) event;
  (void) flags;
  (void) arg;
  (void) !read (pool.stats_request_fd, &count, sizeof count);
  for (i = 0; i < pool.config.agents; i++)
    add_agent_stats (&sum, pool.agents[i]);
  getrusage (RUSAGE_THREAD, &used);
  sum.cpu_us
      = (uint64_t) ((used.ru_utime.tv_sec + used.ru_stime.tv_sec) * HS_SEC
                    + used.ru_utime.tv_usec + used.ru_stime.tv_usec);
  pool.stats = sum;
  sem_post (&pool.stats_ready);
}

static void
add_agent_stats (BenchAgentPoolStats *sum, const HsAgent *agent)
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
announce_target (struct tevent_context *ev,
                 struct tevent_timer *timer,
                 struct timeval now,
                 void *arg)
{
  HsTargetApi *api = arg;
  HsTargetAnnouncement announcement = { .address = "127.0.0.1:1",
                                        .slots = pool.config.slots,
                                        .capacity = { MEMORY_MB, ACCELERATORS },
                                        .ttl = ANNOUNCE_TTL };
  g_autoptr (GError) error = NULL;

  (void) timer;
  (void) now;
  if (!api->handler.announce (api->arg, &announcement, &error))
    g_error ("bench: agent refused the announcement of its target: %s",
             error->message);
  tevent_add_timer (ev, api, tevent_timeval_current_ofs (ANNOUNCE_PERIOD_S, 0),
                    announce_target, api);
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
  complete_call (arg);
}

static void
on_run_now (struct tevent_context *ev,
            struct tevent_immediate *immediate,
            void *arg)
{
  (void) ev;
  (void) immediate;
  complete_call (arg);
}

static void
complete_call (HsTargetCall *call)
{
  static char body[] = "ok";
  HsTaskCompletion finish = { 0 };

  finish.outcome = HSX_DONE;
  finish.http_status = 200;
  finish.run_us = (uint32_t) (hs_now ().mono - call->started_at);
  finish.body = (void *) body;
  finish.body_len = 2;
  call->done (call->arg, HS_TARGET_CALL_ANSWERED, &finish);
  talloc_free (call);
}
