/**
 * @file
 * The processes of a cell: three entries, four agents with their targets,
 * callers, operators and the store, all in one fake time.
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

/** Wall time at the world's beginning. */
#define WORLD_WALL_MS INT64_C (1800000000000)

#define WORLD_ENTRIES 3
#define WORLD_AGENTS 4
#define WORLD_PROCS (WORLD_ENTRIES + WORLD_AGENTS)
#define WORLD_PARTITIONS 8
#define WORLD_CUSTOMERS 4
#define TARGET_SLOTS 2

/** One-way delay of messages between processes; jitter comes on top. */
#define NET_DELAY (1 * HS_MSEC)

/** A silent host is noticed by TCP after this (as rpc/conn.c asks for). */
#define NET_TIMEOUT ((HsTime) 2500 * HS_MSEC)

/** The same where nothing is written and the keepalive is long. */
#define NET_FAR_TIMEOUT (153 * HS_SEC)

/** No work is sent to a host that died so long ago: its home notices, tells
 *  the others, and they check. */
#define NET_DEAD_HOST_NOTICE_MAX ((HsTime) 3300 * HS_MSEC)

typedef enum
{
  PROC_ENTRY,
  PROC_AGENT
} ProcKind;

/** How a target misbehaves. */
typedef enum
{
  TARGET_HEALTHY,
  TARGET_FAILING,             /**< Answers 500 at once. */
  TARGET_STRAGGLING,          /**< Ten times as slow. */
  TARGET_WRONG_TASK,          /**< Answers for another task. */
  TARGET_BREAKING_CONNECTION, /**< Runs, then cuts the answer. */
  TARGET_REFUSING             /**< Nothing listens on its port. */
} TargetFault;

typedef struct
{
  TargetFault fault;
  HsTime fault_until;
  bool leaving;   /**< Told its agent; announces no more. */
  HsTime left_at; /**< When; HS_NEVER: not leaving. */
  HsTargetApiHandler handler;
  void *handler_arg;
  uint32_t
      incarnation; /**< Rises when the host dies: running tasks are gone. */
} Target;

/** A process, and the one after it on the same host. */
struct Proc
{
  uint32_t number;
  ProcKind kind;
  char name[16];
  char address[32];
  bool alive;
  bool dying;           /**< Dies when the running event has ended. */
  bool host_dead;       /**< Its host died: nobody answers for it. */
  uint32_t incarnation; /**< Rises when it dies. */
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
  bool leaving;    /**< A planned stop was begun, */
  HsTime leave_at; /**< and when; HS_NEVER: not. */
  HsTime started_at;
  int64_t seen_revision[2]; /**< Of each plan's allowance. */
};

typedef struct
{
  Proc procs[WORLD_PROCS];
  HsKv *kv;
  HsTime faults_end_at; /**< When the last fault has ended. */
} World;

extern World world;

/** Builds and starts everything. */
void world_begin (uint64_t seed, bool trace);
void world_end (void);

void world_start (Proc *proc);

/** Begins a planned stop; the process ends when it has drained. */
void world_stop_planned (Proc *proc);

/** Kills a process now, or at the end of its running event. */
void world_kill (Proc *proc, bool with_host);

/** Frees processes that died in the event that has just run. */
void world_reap (void);

/** Pauses a process: it handles nothing, its clocks go on. */
void world_pause (Proc *proc, HsTime span);

/** Starts a dead process anew after a while. */
void world_restart_later (Proc *proc, HsTime span);

/** Notes that a fault lasts until then. */
void world_faults_last_until (HsTime at);

Proc *world_entry (uint32_t i);
Proc *world_agent (uint32_t i);
Proc *world_find (const char *address);

/** False for one that is dead or dies in the running event. */
bool proc_is_running (const Proc *proc);

/** @name net*.c @{ */

/** Ends a process's connections; peers of a lost host learn it late. */
void net_proc_died (Proc *proc, bool with_host);

/** Breaks a connection: what is in flight is lost. */
void net_break (HsConn *conn);

/** Breaks it for this side; the peer still gets what was sent, but late. */
void net_break_one_side (HsConn *conn, HsTime span);

/** Holds what travels from this side for a while; order is kept. */
void net_delay (HsConn *conn, HsTime span);
/** Opens another connection between the same processes. */
void net_open_second (HsConn *conn);

/** Breaks what connects two processes. */
void net_break_between (const Proc *a, const Proc *b);

/** @} */
/** @name targets.c @{ */

void target_begin (Proc *agent);
void target_announce (Proc *agent);
void target_leave (Proc *agent);

/** @} */
/** @name stores*.c @{ */

/** How the store misbehaves until a time. */
typedef struct
{
  HsTime down_until;          /**< Refuses connections, */
  bool hangs;                 /**< or lets calls hang. */
  HsTime drop_requests_until; /**< Requests are lost. */
  HsTime slow_until;          /**< Answers take seconds. */
  HsTime lose_answers_until;  /**< Answers are lost after the write. */
  HsTime delay_writes_until;  /**< Writes land after the client gave up. */
  HsTime duplicate_until;     /**< A retransmitted request runs twice. */
  HsTime watch_cut_until;     /**< Watches are silent, then cut. */
  HsTime stale_until;         /**< Ranges answer from an older revision. */
} StoreFaults;

extern StoreFaults store_faults;

/** Makes an empty store. */
void store_begin (void);

/** @} */

#endif
