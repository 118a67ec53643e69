#include "entry_cluster.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "platform_cluster.h"

#define CLUSTER_KEY "cluster-key-0123456789"

#define REQUEST_TIMEOUT_MS 10000

/** Time for an entry to serve: lists, lease, agent and target. */
#define START_TRIES 300
#define START_INTERVAL_MS 100

static void
write_settings (const EntryCluster *c, const char *name, const char *text)
{
  g_autofree char *path = g_strdup_printf ("%s/%s.json", c->dir, name);

  if (!g_file_set_contents (path, text, -1, NULL))
    abort ();
}

static pid_t
spawn_role (const EntryCluster *c, const char *role)
{
  g_autofree char *program = g_strdup_printf ("%s/hibiscusspoke", c->build);
  g_autofree char *settings = g_strdup_printf ("%s/%s.json", c->dir, role);
  g_autofree char *log = g_strdup_printf ("%s/%s.log", c->dir, role);
  char *argv[]
      = { program, (char *) role, (char *) "--settings", settings, NULL };

  return cluster_spawn (argv, log);
}

static void
start_agent (EntryCluster *c)
{
  g_autofree char *text = g_strdup_printf (
      "{\"role\":\"agent\",\"data_centre\":\"dc1\",\"cluster_key\":"
      "\"" CLUSTER_KEY "\",\"agent\":{\"name\":\"agent1\",\"rack\":\"r1\","
      "\"target_listen\":\"%s\",\"rpc_listen\":\"%s\",\"entries\":[\"%s\"]}}",
      c->target_address, c->agent_rpc_address, c->rpc_address);
  g_autofree char *program = g_strdup_printf ("%s/standin-target", c->build);
  g_autofree char *log = g_strdup_printf ("%s/target.log", c->dir);
  char *argv[] = { program,
                   (char *) "--agent",
                   c->target_address,
                   (char *) "--key",
                   (char *) CLUSTER_KEY,
                   (char *) "--slots",
                   (char *) "8",
                   NULL };

  write_settings (c, "agent", text);
  c->agent = spawn_role (c, "agent");
  c->target = cluster_spawn (argv, log);
}

void
entry_cluster_start (EntryCluster *c, const char *build, const char *dir)
{
  g_autofree char *program = g_strdup_printf ("%s/standin-store", build);
  g_autofree char *log = g_strdup_printf ("%s/store.log", dir);
  char *argv[] = { program, (char *) "--listen", c->store_address, NULL };

  memset (c, 0, sizeof *c);
  g_strlcpy (c->build, build, sizeof c->build);
  g_strlcpy (c->dir, dir, sizeof c->dir);
  g_mkdir_with_parents (dir, 0755);
  cluster_choose_address (c->store_address);
  cluster_choose_address (c->caller_address);
  cluster_choose_address (c->admin_address);
  cluster_choose_address (c->rpc_address);
  cluster_choose_address (c->target_address);
  cluster_choose_address (c->agent_rpc_address);
  c->store = cluster_spawn (argv, log);
  start_agent (c);
}

static void
end_process (pid_t *pid)
{
  if (*pid <= 0)
    return;
  kill (*pid, SIGKILL);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

/* Writes a customer's plan with its allowance; they may be there already. */
static void
write_plan (const EntryCluster *c,
            const char *customer,
            unsigned int in_flight,
            unsigned int queued)
{
  g_autofree char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256,
                                                         ENTRY_CLUSTER_KEY, -1);
  g_autofree char *plan_path
      = g_strdup_printf ("/v1/plans/%s?revision=0", customer);
  g_autofree char *plan = g_strdup_printf (
      "{\"plan\":\"of-%s\",\"key_hash\":\"%s\"}", customer, hash);
  g_autofree char *allowance_path
      = g_strdup_printf ("/v1/allowances/of-%s?revision=0", customer);
  g_autofree char *allowance = g_strdup_printf (
      "{\"in_flight\":%u,\"starts_per_s\":500,\"burst\":200,\"queued\":%u,"
      "\"tasks_per_job\":390,\"memory_mb\":1024,\"accelerators\":0,"
      "\"weight\":1}",
      in_flight, queued);

  entry_cluster_call ("PUT", c->admin_address, allowance_path,
                      ENTRY_CLUSTER_TOKEN, allowance);
  entry_cluster_call ("PUT", c->admin_address, plan_path, ENTRY_CLUSTER_TOKEN,
                      plan);
}

bool
entry_cluster_restart_entry (EntryCluster *c, const char *more)
{
  g_autofree char *text = g_strdup_printf (
      "{\"role\":\"entry\",\"data_centre\":\"dc1\",\"cluster_key\":"
      "\"" CLUSTER_KEY "\",\"entry\":{\"name\":\"entry1\","
      "\"http_listen\":\"%s\",\"admin_listen\":\"%s\",\"rpc_listen\":\"%s\","
      "\"admin_token\":\"" ENTRY_CLUSTER_TOKEN "\","
      "\"store\":[\"http://%s\"]%s}}",
      c->caller_address, c->admin_address, c->rpc_address, c->store_address,
      more);
  int i;

  end_process (&c->entry);
  write_settings (c, "entry", text);
  c->entry = spawn_role (c, "entry");
  for (i = 0; i < START_TRIES; i++)
    {
      write_plan (c, "c1", 100, 1000);
      write_plan (c, "c2", 2, 2000);
      if (entry_cluster_submit (c) == 200)
        return true;
      cluster_sleep_ms (START_INTERVAL_MS);
    }
  return false;
}

long
entry_cluster_call (const char *method,
                    const char *address,
                    const char *path,
                    const char *token,
                    const char *body)
{
  g_autofree char *header = g_strdup_printf ("Authorization: Bearer %s", token);

  return cluster_call_with (method, address, path, header, body,
                            REQUEST_TIMEOUT_MS)
      .status;
}

long
entry_cluster_submit (EntryCluster *c)
{
  static unsigned int next;
  g_autofree char *body = g_strdup_printf (
      "{\"customer\":\"c1\",\"id\":\"ordinary-%d-%u\",\"tasks\":["
      "{\"body\":\"sleep=20;nonce=n%u\",\"run_ms\":20}]}",
      (int) getpid (), next, next);

  next++;
  return entry_cluster_call ("POST", c->caller_address, "/v1/jobs",
                             ENTRY_CLUSTER_KEY, body);
}

void
entry_cluster_stop (EntryCluster *c)
{
  end_process (&c->target);
  end_process (&c->agent);
  end_process (&c->entry);
  end_process (&c->store);
}
