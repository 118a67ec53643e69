/**
 * @file
 * The processes of a run: three entries, four agents with their targets,
 * callers, operators and the store, all in one simulated time.
 */
#ifndef HS_MATRIX_WORLD_H
#define HS_MATRIX_WORLD_H

#include "agent/agent.h"
#include "agent/target_api.h"
#include "config/settings.h"
#include "entry/core.h"
#include "faults.h"
#include "../standin/kv.h"
#include "sim.h"

/** Wall clock time at the start of a run. */
#define WORLD_WALL_MS INT64_C (1800000000000)

#define WORLD_ENTRIES 3
#define WORLD_AGENTS 4
#define WORLD_PROCS (WORLD_ENTRIES + WORLD_AGENTS)
#define WORLD_PARTITIONS 8
#define WORLD_CUSTOMERS 4
#define TARGET_SLOTS 2

/** One-way delay of messages between processes, without jitter. */
#define NET_DELAY (1 * HS_MSEC)

/** TCP ends a connection to an unresponsive host after this (as rpc/conn.c
 *  configures it). */
#define NET_TIMEOUT ((HsTime) 2500 * HS_MSEC)

/** The same for connections with HS_CONN_KEEPALIVE_LONG, while
 *  nothing is written. */
#define NET_FAR_TIMEOUT (153 * HS_SEC)

/** No START may be sent to a host that died longer ago: within this time the
 *  entry with which the host's agent registered notices, informs the other
 *  entries, and they probe it. */
#define NET_DEAD_HOST_NOTICE_MAX ((HsTime) 3300 * HS_MSEC)

typedef enum
{
  PROC_ENTRY,
  PROC_AGENT
} ProcKind;

/** Fault of a target. */
typedef enum
{
  TARGET_HEALTHY,
  TARGET_FAILING,             /**< Answers with status 500 at once. */
  TARGET_STRAGGLING,          /**< Runs take ten times as long. */
  TARGET_WRONG_TASK,          /**< Answers for another task. */
  TARGET_BREAKING_CONNECTION, /**< Runs, then closes without an answer. */
  TARGET_REFUSING             /**< Nothing listens on its port. */
} TargetFault;

typedef struct
{
  TargetFault fault;
  HsTime fault_until;
  bool leaving;   /**< It has told its agent that it leaves, and no longer
                     announces itself. */
  HsTime left_at; /**< HS_NEVER: not leaving. */
  HsTargetApiHandler handler;
  void *handler_arg;
  uint32_t incarnation; /**< Unused. */
} Target;

/** A process and its later incarnations on the same host. */
struct Proc
{
  uint32_t number;
  ProcKind kind;
  char name[16];
  char address[32];
  bool alive;
  bool dying;           /**< Dies when the running event has ended. */
  bool host_dead;       /**< Its host died: connections to it time out. */
  uint32_t incarnation; /**< Incremented when it dies. */
  HsTime paused_until;
  HsTime mono_offset;
  int64_t wall_skew_ms;
  struct tevent_context ev;
  TALLOC_CTX *memory;
  HsSettings settings;
  HsCore *core;
  HsAgent *agent;
  HsRpc *rpc;
  HsStore *store;
  HsFrontend *front;
  Target target;
  bool leaving;    /**< A planned stop has begun. */
  HsTime leave_at; /**< When the planned stop began; HS_NEVER: none. */
  HsTime started_at;
  int64_t seen_revision[2]; /**< By plan: the revision of its allowance that the
                               entry applied at the last check. */
};

typedef struct
{
  Proc procs[WORLD_PROCS];
  HsKv *kv;
  HsTime faults_end_at; /**< When the effects of the last fault end. */
} World;

extern World world;

/** Starts a simulation and sets up its store, operators, targets and
 *  processes; world_start() starts each process. */
void world_begin (uint64_t seed, bool trace);
/** Kills all processes and ends the simulation. */
void world_end (void);

/** Starts a process that isn't alive. */
void world_start (Proc *proc);

/** Begins a planned stop; the process ends when it has drained. */
void world_stop_planned (Proc *proc);

/** Kills a process, at once or at the end of its running event. */
void world_kill (Proc *proc, bool with_host);

/** Frees processes that died in the event that has just run. */
void world_reap (void);

/** Pauses a process: its events wait, but its clocks go on. */
void world_pause (Proc *proc, HsTime span);

/** Starts a dead process again after @p span. */
void world_restart_later (Proc *proc, HsTime span);

/** Records that the effects of a fault may last until @p at. */
void world_faults_last_until (HsTime at);

Proc *world_entry (uint32_t i);
Proc *world_agent (uint32_t i);
/** Finds a process by its address; NULL: none. */
Proc *world_find (const char *address);

/** Whether a process is alive and does not die in the running event. */
bool proc_is_running (const Proc *proc);

/** @name net*.c @{ */

/** Ends a process's connections. If its host died, its peers notice only after
 *  NET_TIMEOUT or NET_FAR_TIMEOUT. */
void net_proc_died (Proc *proc, bool with_host);

/** Breaks a connection; messages in flight are lost. */
void net_break (HsConn *conn);

/** Breaks a connection for this side; the peer still receives what was sent to
 *  it, @p span late. */
void net_break_one_side (HsConn *conn, HsTime span);

/** Delays the messages from this side until @p span from now, in order. */
void net_delay (HsConn *conn, HsTime span);
/** Opens a second connection between the same processes. */
void net_open_second (HsConn *conn);

/** Breaks all connections between two processes. */
void net_break_between (const Proc *a, const Proc *b);

/** @} */
/** @name targets.c @{ */

/** Starts the periodic announcements of an agent's target. */
void target_begin (Proc *agent);
/** Announces the target to its agent, unless it is leaving. */
void target_announce (Proc *agent);
/** Tells the agent that its target leaves. */
void target_leave (Proc *agent);

/** @} */
/** @name stores*.c @{ */

/** Faults of the store; each lasts until a time. */
typedef struct
{
  HsTime down_until; /**< The store refuses connections, or lets calls hang. */
  bool hangs; /**< Until down_until, calls hang instead of being refused. */
  HsTime drop_requests_until; /**< Requests are lost. */
  HsTime slow_until;          /**< Answers take up to 2 s longer. */
  HsTime lose_answers_until;  /**< Writes are applied, their answers lost. */
  HsTime delay_writes_until;  /**< Writes run after their timeout. */
  HsTime duplicate_until;     /**< Retransmitted writes run twice. */
  HsTime watch_cut_until;     /**< Watches deliver nothing, then break. */
  HsTime stale_until;         /**< Ranges read an older revision. */
} StoreFaults;

extern StoreFaults store_faults;

/** Creates an empty store without faults. */
void store_begin (void);

/** @} */

#endif
