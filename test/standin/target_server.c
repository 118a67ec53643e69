#include "target_server.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "agent/target_msg.h"
#include "base/error.h"
#include "base/time.h"
#include "http/curl_loop.h"
#include "http/mhd_loop.h"

#define MAX_CONNECTIONS 4096
#define BODY_MAX (1024 * 1024)
#define STRAGGLE_FACTOR 10
#define LEAVE_TIMEOUT_MS 600000L
#define ANNOUNCE_TIMEOUT_MS 2000L
#define TASK_NAME_MAX 512

/* A task, from its request to the end of its response. */
typedef struct
{
  Target *target;
  struct MHD_Connection *connection;
  GString *body;
  char name[TASK_NAME_MAX];
  TargetFault fault;
  uint32_t run_ms;
  uint32_t size;
  char nonce[64];
  bool started;
  bool suspended;
  bool ended;
} Task;

struct Target
{
  TargetOptions options;
  struct tevent_context *ev;
  HsMhd *mhd;
  HsCurl *curl;
  GRand *rand;
  GQueue suspended; /* Tasks whose connections are suspended. */
  int record_fd;
  uint64_t starts;
  uint32_t running;
  bool announcing;
  bool leaving;
  bool left;
};

/* A call to the agent. */
typedef struct
{
  Target *target;
  struct curl_slist *headers;
  bool is_leave;
} AgentCall;

static int free_target (Target *target);
static enum MHD_Result on_request (void *arg,
                                   struct MHD_Connection *connection,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *data,
                                   size_t *data_len,
                                   void **state);
static void on_completed (void *arg,
                          struct MHD_Connection *connection,
                          void **state,
                          enum MHD_RequestTerminationCode code);
static enum MHD_Result start_task (Task *task);
static void parse_body (Task *task);
static void on_run_end (struct tevent_context *ev,
                        struct tevent_timer *te,
                        struct timeval now,
                        void *arg);
static enum MHD_Result respond (Task *task);
static void append_record (const Task *task, const char *what);
static void on_renew (struct tevent_context *ev,
                      struct tevent_timer *te,
                      struct timeval now,
                      void *arg);
static void schedule_renewal (Target *target);
static void call_agent (Target *target, const char *method);

static const char *const FAULT_NAMES[] = {
  [FAULT_NONE] = "none",       [FAULT_FAIL] = "fail", [FAULT_SLOW] = "slow",
  [FAULT_FOREIGN] = "foreign", [FAULT_CUT] = "cut",   [FAULT_TWICE] = "twice",
};

Target *
target_new (TALLOC_CTX *ctx,
            struct tevent_context *ev,
            const TargetOptions *options,
            GError **error)
{
  Target *target = talloc_zero (ctx, Target);
  HsMhdOptions mhd = { .listen = options->listen,
                       .handle = on_request,
                       .completed = on_completed,
                       .arg = target,
                       .max_connections = MAX_CONNECTIONS };

  target->options = *options;
  target->ev = ev;
  target->rand = g_rand_new_with_seed (options->seed);
  target->record_fd = -1;
  g_queue_init (&target->suspended);
  talloc_set_destructor (target, free_target);
  if (options->record != NULL)
    target->record_fd = open (options->record,
                              O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  target->mhd = hs_mhd_new (target, ev, &mhd, error);
  if (target->mhd == NULL)
    {
      talloc_free (target);
      return NULL;
    }
  target->curl = hs_curl_new (target, ev);
  call_agent (target, MHD_HTTP_METHOD_POST);
  schedule_renewal (target);
  return target;
}

bool
target_fault_parse (const char *name, TargetFault *fault)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (FAULT_NAMES); i++)
    if (strcmp (name, FAULT_NAMES[i]) == 0)
      {
        *fault = (TargetFault) i;
        return true;
      }
  return false;
}

void
target_leave (Target *target)
{
  if (target->leaving)
    return;
  target->leaving = true;
  if (!target->announcing)
    call_agent (target, MHD_HTTP_METHOD_DELETE);
}

bool
target_has_left (const Target *target)
{
  return target->left;
}

uint16_t
target_port (const Target *target)
{
  return hs_mhd_port (target->mhd);
}

uint64_t
target_starts (const Target *target)
{
  return target->starts;
}

uint32_t
target_running (const Target *target)
{
  return target->running;
}

static int
free_target (Target *target)
{
  Task *task;

  while ((task = g_queue_pop_head (&target->suspended)) != NULL)
    hs_mhd_resume (target->mhd, task->connection);
  TALLOC_FREE (target->mhd);
  TALLOC_FREE (target->curl);
  g_rand_free (target->rand);
  if (target->record_fd >= 0)
    close (target->record_fd);
  return 0;
}

static enum MHD_Result
on_request (void *arg,
            struct MHD_Connection *connection,
            const char *url,
            const char *method,
            const char *version,
            const char *data,
            size_t *data_len,
            void **state)
{
  Task *task = *state;

  (void) url;
  (void) method;
  (void) version;
  if (task == NULL)
    {
      task = talloc_zero (NULL, Task);
      task->target = arg;
      task->connection = connection;
      task->body = g_string_new (NULL);
      *state = task;
      return MHD_YES;
    }
  if (*data_len > 0)
    {
      if (task->body->len + *data_len > BODY_MAX)
        return MHD_NO;
      g_string_append_len (task->body, data, (gssize) *data_len);
      *data_len = 0;
      return MHD_YES;
    }
  return task->started ? respond (task) : start_task (task);
}

static enum MHD_Result
start_task (Task *task)
{
  Target *target = task->target;
  const char *name = MHD_lookup_connection_value (
      task->connection, MHD_HEADER_KIND, HS_TARGET_TASK_HEADER);

  task->started = true;
  g_strlcpy (task->name, name != NULL ? name : "", sizeof task->name);
  parse_body (task);
  target->starts++;
  target->running++;
  append_record (task, "start");
  tevent_add_timer (target->ev, task,
                    tevent_timeval_current_ofs (task->run_ms / 1000,
                                                task->run_ms % 1000 * 1000),
                    on_run_end, task);
  task->suspended = true;
  g_queue_push_tail (&target->suspended, task);
  MHD_suspend_connection (task->connection);
  return MHD_YES;
}

static void
parse_body (Task *task)
{
  Target *target = task->target;
  g_auto (GStrv) fields = g_strsplit (task->body->str, ";", -1);
  uint32_t factor = 1;
  size_t i;

  task->fault = target->options.fault;
  for (i = 0; fields[i] != NULL; i++)
    {
      char *value = strchr (fields[i], '=');

      if (value == NULL)
        continue;
      *value++ = '\0';
      if (strcmp (fields[i], "sleep") == 0)
        task->run_ms = (uint32_t) strtoul (value, NULL, 10);
      else if (strcmp (fields[i], "straggle") == 0)
        factor = (uint32_t) strtoul (value, NULL, 10);
      else if (strcmp (fields[i], "size") == 0)
        task->size = (uint32_t) strtoul (value, NULL, 10);
      else if (strcmp (fields[i], "nonce") == 0)
        g_strlcpy (task->nonce, value, sizeof task->nonce);
      else if (strcmp (fields[i], "fail") == 0 && strcmp (value, "1") == 0)
        task->fault = FAULT_FAIL;
      else if (strcmp (fields[i], "fault") == 0)
        target_fault_parse (value, &task->fault);
    }
  if (g_rand_double (target->rand) < target->options.fail_rate)
    task->fault = FAULT_FAIL;
  if (task->fault == FAULT_SLOW
      || g_rand_double (target->rand) < target->options.straggle_rate)
    factor = STRAGGLE_FACTOR;
  task->run_ms *= MAX (factor, 1);
  if (target->options.fault == FAULT_FAIL)
    task->run_ms = 0;
}

static void
on_run_end (struct tevent_context *ev,
            struct tevent_timer *te,
            struct timeval now,
            void *arg)
{
  Task *task = arg;

  (void) ev;
  (void) te;
  (void) now;
  task->ended = true;
  task->target->running--;
  append_record (task, "end");
  task->suspended = false;
  g_queue_remove (&task->target->suspended, task);
  hs_mhd_resume (task->target->mhd, task->connection);
}

/* Gives one byte of the announced length, then an error. */
static ssize_t
read_truncated (void *arg, uint64_t at, char *to, size_t max)
{
  (void) arg;
  (void) max;
  if (at > 0)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  to[0] = 'x';
  return 1;
}

static enum MHD_Result
respond (Task *task)
{
  unsigned int status = task->fault == FAULT_FAIL ? 500 : 200;
  GString *text = g_string_new (NULL);
  struct MHD_Response *response;
  enum MHD_Result result;

  g_string_printf (text, "nonce=%s task=%s\n", task->nonce, task->name);
  while (text->len < task->size)
    g_string_append_c (text, 'x');
  if (task->fault == FAULT_CUT)
    response = MHD_create_response_from_callback (100, 100, read_truncated,
                                                  NULL, NULL);
  else
    response = MHD_create_response_from_buffer (text->len, text->str,
                                                MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, HS_TARGET_TASK_HEADER,
                           task->fault == FAULT_FOREIGN ? "someone/else/0"
                                                        : task->name);
  result = MHD_queue_response (task->connection, status, response);
  MHD_destroy_response (response);
  g_string_free (text, TRUE);
  return result;
}

/* Writes a second, unsolicited response to the connection. */
static void
send_second_answer (const Task *task)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      task->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  g_autofree char *text
      = g_strdup_printf ("HTTP/1.1 200 OK\r\n" HS_TARGET_TASK_HEADER
                         ": %s\r\nContent-Length: 5\r\n\r\nagain",
                         task->name);

  if (send (info->connect_fd, text, strlen (text), MSG_DONTWAIT | MSG_NOSIGNAL)
      < 0)
    perror ("standin-target: send");
}

static void
on_completed (void *arg,
              struct MHD_Connection *connection,
              void **state,
              enum MHD_RequestTerminationCode code)
{
  Task *task = *state;

  (void) arg;
  (void) connection;
  if (task == NULL)
    return;
  if (task->started && !task->ended)
    task->target->running--;
  if (task->fault == FAULT_TWICE && code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
    send_second_answer (task);
  if (task->suspended)
    g_queue_remove (&task->target->suspended, task);
  g_string_free (task->body, TRUE);
  talloc_free (task);
  *state = NULL;
}

static void
append_record (const Task *task, const char *what)
{
  char line[TASK_NAME_MAX + 64];
  int len;

  if (task->target->record_fd < 0)
    return;
  len = snprintf (line, sizeof line, "%s %s %" G_GINT64_FORMAT "\n", what,
                  task->name, hs_now ().mono);
  if (write (task->target->record_fd, line, (size_t) len) != len)
    perror ("standin-target: record");
}

static void
schedule_renewal (Target *target)
{
  uint32_t ms = target->options.ttl_ms / 3;

  tevent_add_timer (target->ev, target,
                    tevent_timeval_current_ofs (ms / 1000, ms % 1000 * 1000),
                    on_renew, target);
}

static void
on_renew (struct tevent_context *ev,
          struct tevent_timer *te,
          struct timeval now,
          void *arg)
{
  Target *target = arg;

  (void) ev;
  (void) te;
  (void) now;
  if (target->left)
    return;
  if (target->leaving && !target->announcing)
    return;
  if (!target->announcing)
    call_agent (target, MHD_HTTP_METHOD_POST);
  schedule_renewal (target);
}

static size_t
discard (char *data, size_t size, size_t n, void *arg)
{
  (void) data;
  (void) arg;
  return size * n;
}

static void
on_agent_replied (void *arg, CURL *easy, CURLcode result, bool sent)
{
  AgentCall *call = arg;
  Target *target = call->target;
  long status = 0;

  (void) sent;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (easy);
  if (result != CURLE_OK || status != MHD_HTTP_OK)
    fprintf (stderr,
             "standin-target: call to the agent failed with status %ld: %s\n",
             status, curl_easy_strerror (result));
  if (call->is_leave)
    target->left = true;
  else
    {
      target->announcing = false;
      if (target->leaving)
        call_agent (target, MHD_HTTP_METHOD_DELETE);
    }
  curl_slist_free_all (call->headers);
  talloc_free (call);
}

static void
call_agent (Target *target, const char *method)
{
  AgentCall *call = talloc_zero (target, AgentCall);
  char auth[HS_TARGET_SIGNATURE_SIZE];
  CURL *easy = curl_easy_init ();
  char *url = talloc_asprintf (call, "http://%s" HS_TARGET_PATH,
                               target->options.agent);
  char *body;

  call->target = target;
  call->is_leave = strcmp (method, MHD_HTTP_METHOD_DELETE) == 0;
  body = call->is_leave
             ? talloc_strdup (call, "")
             : talloc_asprintf (
                 call,
                 "{\"address\":\"127.0.0.1:%u\",\"slots\":%u,"
                 "\"memory_mb\":%u,\"accelerators\":0,\"ttl_ms\":%u}",
                 target_port (target), target->options.slots,
                 target->options.memory_mb, target->options.ttl_ms);
  target->announcing = !call->is_leave;
  hs_target_sign (target->options.key, method, HS_TARGET_PATH, body,
                  strlen (body), auth);
  call->headers = curl_slist_append (
      NULL, talloc_asprintf (call, HS_TARGET_AUTH_HEADER ": %s", auth));
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    call->is_leave ? LEAVE_TIMEOUT_MS : ANNOUNCE_TIMEOUT_MS);
  hs_curl_add (target->curl, easy, on_agent_replied, call);
}
