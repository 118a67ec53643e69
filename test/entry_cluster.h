/**
 * @file
 * Runs an entry, an agent, a target and a store on loopback that are not on the
 * users' platform, with two
 * customers. Used by tests.
 */
#ifndef HS_TEST_ENTRY_CLUSTER_H
#define HS_TEST_ENTRY_CLUSTER_H

#include <stdbool.h>
#include <sys/types.h>

/** Key of the customers "c1" and "c2", and token of the operators. Of the
 *  second one, at most two tasks run at a time, and 2,000 may wait. */
#define ENTRY_CLUSTER_KEY "customer-key-0001"
#define ENTRY_CLUSTER_TOKEN "admin-token-0123456789"

typedef struct
{
  char dir[256];   /**< For settings and logs. */
  char build[256]; /**< Where the programs are. */
  char store_address[32];
  char caller_address[32]; /**< Of the entry. */
  char admin_address[32];
  char rpc_address[32];
  char target_address[32]; /**< Of the agent, for its target. */
  char agent_rpc_address[32];
  pid_t store;
  pid_t entry;
  pid_t agent;
  pid_t target;
} EntryCluster;

/** Chooses addresses and starts all processes but the entry. */
void
entry_cluster_start (EntryCluster *cluster, const char *build, const char *dir);

/** Starts the entry anew and waits until it runs a job.
 *  @param more keys of the entry's settings, each after a comma
 *  @return false if it doesn't run one */
bool entry_cluster_restart_entry (EntryCluster *cluster, const char *more);

/** Makes a request and waits for the response.
 *  @param token of the Authorization header
 *  @param body of the request, or NULL
 *  @return HTTP status; 0: no response */
long entry_cluster_call (const char *method,
                         const char *address,
                         const char *path,
                         const char *token,
                         const char *body);

/** Submits a job of one task and waits for its answer. */
long entry_cluster_submit (EntryCluster *cluster);

/** Kills all processes. */
void entry_cluster_stop (EntryCluster *cluster);

#endif
