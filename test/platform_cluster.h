/**
 * @file
 * Runs the real programs as processes on loopback, with stand-ins for the
 * platform's store and targets. Used by tests and the soak test.
 */
#ifndef HS_TEST_PLATFORM_CLUSTER_H
#define HS_TEST_PLATFORM_CLUSTER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/** Maximum number of processes of each kind. */
#define CLUSTER_PROCESSES_MAX 16

/** Kinds of processes. */
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
  char dir[256];   /**< For settings and logs. */
  char build[256]; /**< Where the programs are. */
  unsigned int n_entries;
  unsigned int n_agents;
  unsigned int cpu_milli; /**< Of each target. */
  /** In the settings, if not 0; evacuation is then in use. */
  unsigned int evacuate_ms;
  pid_t pids[CLUSTER_KINDS][CLUSTER_PROCESSES_MAX]; /**< 0: not running. */
  /** Listen addresses; of entries, those for callers. */
  char addresses[CLUSTER_KINDS][CLUSTER_PROCESSES_MAX][32];
  char ready_addresses[CLUSTER_PROCESSES_MAX][32];
  char control_addresses[CLUSTER_PROCESSES_MAX][32]; /**< Of entries. */
  /** Address at which callers reach an entry. */
  char caller_dial_addresses[CLUSTER_PROCESSES_MAX][32];
  /** Addresses at which the other processes reach the entries, the store and
   *  the targets: the listen addresses, unless a proxy is put in between. */
  char control_dial_addresses[CLUSTER_PROCESSES_MAX][32];
  char store_dial_address[32];
  char app_dial_addresses[CLUSTER_PROCESSES_MAX][32];
  /** Part of the names of targets: rises when one is replaced. */
  unsigned int generations[CLUSTER_PROCESSES_MAX];
  unsigned int start_counts[CLUSTER_KINDS][CLUSTER_PROCESSES_MAX];
  /** Limits in the settings of entries and agents; 0: none. Where there is a
   *  limit on memory, the metrics are served as well. */
  unsigned int memory_mb;
  unsigned int max_fds;
  char metrics_addresses[CLUSTER_KINDS][CLUSTER_PROCESSES_MAX][32];
} Cluster;

/** The response to an HTTP request. */
typedef struct
{
  long status; /**< 0: no response. */
  char body[512];
  char retry_after[16];
  double seconds;
} ClusterReply;

/** Finds the build directory: the parent of the running test's directory. */
void cluster_build_dir (char out[256]);

/** Chooses addresses and writes them to @p cluster; starts no process.
 *  @param build the build directory with the programs
 *  @param dir directory for settings and logs; created if missing
 *  @param cpu_milli processor capacity of each target, in thousandths of a
 *         core */
void cluster_init (Cluster *cluster,
                   const char *build,
                   const char *dir,
                   unsigned int n_entries,
                   unsigned int n_agents,
                   unsigned int cpu_milli);

/** Chooses an address of loopback on whose port nothing listens. */
void cluster_choose_address (char out[32]);

/** Starts a program with its output in the file @p log.
 *  @param argv NULL-terminated; the program first */
pid_t cluster_spawn (char *const *argv, const char *log);

/** Writes settings and starts a process. */
void cluster_start (Cluster *cluster, ClusterKind kind, unsigned int i);

/** Starts all processes that are not running. */
void cluster_start_all (Cluster *cluster);

/** Sends the signal @p n to a process that this cluster started. */
void cluster_signal (Cluster *cluster, ClusterKind kind, unsigned int i, int n);

/** Kills a process and waits until it has exited. */
void cluster_kill (Cluster *cluster, ClusterKind kind, unsigned int i);

/** Waits until a process that was asked to stop has exited.
 *  @return false after @p ms, or if its exit status is not 0 */
bool
cluster_await_exit (Cluster *cluster, ClusterKind kind, unsigned int i, int ms);

/** Kills all processes of the cluster. */
void cluster_kill_all (Cluster *cluster);

/** Makes an HTTP request and waits for the response.
 *  @param body of the request, or NULL */
ClusterReply cluster_call (const char *method,
                           const char *address,
                           const char *path,
                           const char *body,
                           long timeout_ms);

/** As cluster_call(), with the header @p header as well, in the form "NAME:
 *  VALUE". */
ClusterReply cluster_call_with (const char *method,
                                const char *address,
                                const char *path,
                                const char *header,
                                const char *body,
                                long timeout_ms);

/** Begins to connect to "127.0.0.1:PORT", without blocking.
 *  @return the descriptor, or -1 */
int cluster_dial (const char *address);

/** Submits a best-effort job on the route "/q/" and waits for the answer.
 *  @param cpu_milli processor demand of each task, in thousandths of a core
 *  @param deadline_ms time from now that the caller is willing to wait */
ClusterReply cluster_submit (Cluster *cluster,
                             unsigned int entry,
                             const char *id,
                             const char *spec,
                             unsigned int n_tasks,
                             unsigned int cpu_milli,
                             long deadline_ms);

/** As cluster_submit(), on any route.
 *  @param path of the route, with the job's id
 *  @param estimate_ms run time that the job declares */
ClusterReply cluster_submit_to (Cluster *cluster,
                                unsigned int entry,
                                const char *path,
                                const char *spec,
                                unsigned int n_tasks,
                                unsigned int cpu_milli,
                                unsigned int estimate_ms,
                                long deadline_ms);

/** Writes the operators' configuration to the store, with the route "/q/".
 *  @param extra_prefix path prefix of a second route, or NULL */
void
cluster_configure (Cluster *cluster, int version, const char *extra_prefix);

/** Waits until an entry reports that it is ready.
 *  @return false if it isn't within @p ms */
bool cluster_await_ready (Cluster *cluster, unsigned int entry, int ms);

/** Whether the log of any process of a kind contains @p text. */
bool
cluster_logs_contain (Cluster *cluster, ClusterKind kind, const char *text);

/** Reads the number @p name from a target's state; -1 if it is missing. */
long cluster_target_counter (Cluster *cluster,
                             unsigned int target,
                             const char *name);

void cluster_sleep_ms (int ms);

#endif
