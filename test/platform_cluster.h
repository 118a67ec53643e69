/**
 * @file
 * The real programs as processes on loopback, with stand-ins for the
 * platform's store and targets. For tests and the soak.
 */
#ifndef HS_TEST_PLATFORM_CLUSTER_H
#define HS_TEST_PLATFORM_CLUSTER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define CLUSTER_PROCESSES_MAX 16

/** Kinds of process. */
typedef enum
{
  CLUSTER_STORE,
  CLUSTER_ENTRY,
  CLUSTER_AGENT,
  CLUSTER_TARGET,
  CLUSTER_KINDS
} ClusterKind;

typedef struct
{
  char dir[256];   /**< Settings and logs. */
  char build[256]; /**< Programs. */
  unsigned int n_entries;
  unsigned int n_agents;
  unsigned int cpu_milli;                           /**< Of each target. */
  pid_t pids[CLUSTER_KINDS][CLUSTER_PROCESSES_MAX]; /**< 0: not running. */
  /** Where each listens; entries: for callers. */
  char addresses[CLUSTER_KINDS][CLUSTER_PROCESSES_MAX][32];
  char ready_addresses[CLUSTER_PROCESSES_MAX][32];
  char control_addresses[CLUSTER_PROCESSES_MAX][32]; /**< Of entries. */
  /** Where others reach it; the same, unless a proxy lies between. */
  char control_dial_addresses[CLUSTER_PROCESSES_MAX][32];
  char store_dial_address[32];
  char app_dial_addresses[CLUSTER_PROCESSES_MAX][32];
  unsigned int start_counts[CLUSTER_KINDS][CLUSTER_PROCESSES_MAX];
} Cluster;

/** An answer over HTTP. */
typedef struct
{
  long status; /**< 0: no answer. */
  char body[512];
  char retry_after[16];
  double seconds;
} ClusterReply;

/** The build folder that holds the running test's own folder. */
void cluster_build_dir (char out[256]);

/** Chooses addresses; starts nothing. @param dir is made */
void cluster_init (Cluster *cluster,
                   const char *build,
                   const char *dir,
                   unsigned int n_entries,
                   unsigned int n_agents,
                   unsigned int cpu_milli);

/** Writes settings and starts a process. */
void cluster_start (Cluster *cluster, ClusterKind kind, unsigned int i);

/** Starts all that don't run. */
void cluster_start_all (Cluster *cluster);

/** Sends a signal to a process that this cluster started. */
void cluster_signal (Cluster *cluster, ClusterKind kind, unsigned int i, int n);

/** Kills a process and waits for its end. */
void cluster_kill (Cluster *cluster, ClusterKind kind, unsigned int i);

/** Waits for a process that was told to stop; false after the span. */
bool
cluster_await_exit (Cluster *cluster, ClusterKind kind, unsigned int i, int ms);

/** Ends all. */
void cluster_kill_all (Cluster *cluster);

/** A call, waited for. */
ClusterReply cluster_call (const char *method,
                           const char *address,
                           const char *path,
                           const char *body,
                           long timeout_ms);

/** Submits a best-effort job of the route "/q/". */
ClusterReply cluster_submit (Cluster *cluster,
                             unsigned int entry,
                             const char *id,
                             const char *spec,
                             unsigned int n_tasks,
                             unsigned int cpu_milli,
                             long deadline_ms);

/** Writes the operators' configuration. @param prefixes with "/q/" */
void
cluster_configure (Cluster *cluster, int version, const char *extra_prefix);

/** Whether an entry is ready within a span. */
bool cluster_await_ready (Cluster *cluster, unsigned int entry, int ms);

/** Whether a line of any target's log begins so. */
bool
cluster_logs_contain (Cluster *cluster, ClusterKind kind, const char *text);

/** A number of a target's state. */
long cluster_target_counter (Cluster *cluster,
                             unsigned int target,
                             const char *name);

/** Sleeps. */
void cluster_sleep_ms (int ms);

#endif
