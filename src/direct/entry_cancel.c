/* Cancelling of jobs that this entry doesn't have. A caller's DELETE may reach
   another entry than its job did, as when that one leaves; the other entries
   are asked then. They are asked as well if this entry has answered the job:
   the answer may have been lost with its connection, and the job sent again. */
#include <string.h>

#include "base/event.h"
#include "direct/entry_private.h"

/** Limit on requests that wait for answers of other entries. */
#define CANCELS_MAX 64

/** How long an entry may take to answer; long beside the way there and back. */
#define ANSWER_TIMEOUT (500 * HS_MSEC)

/** A request that waits for answers of other entries. */
typedef struct
{
  HsDirectEntry *entry;
  uint64_t request;
  char *id;
  uint32_t n_asked;
  uint32_t n_pending; /* Calls that haven't ended. */
  uint32_t n_unknown; /* Calls that ended without an answer. */
  bool replied;
  HsReplyKind outcome;
} Cancel;

static void on_answer (void *arg, HsRpcStatus status, const void *result);
static void release (Cancel *cancel);
static void reply (Cancel *cancel, HsReplyKind kind);

bool
hs_entry_cancel_ask (HsDirectEntry *entry,
                     uint64_t request,
                     const char *customer,
                     const char *id)
{
  char name[HSX_NAME_MAX + 1];
  hsx_cancel_job_args args = { .customer = name, .id = (char *) id };
  Cancel *cancel;
  uint32_t i;

  if (entry->n_cancels == CANCELS_MAX)
    return false;
  g_strlcpy (name, customer, sizeof name);
  cancel = talloc_zero (entry, Cancel);
  cancel->entry = entry;
  cancel->request = request;
  cancel->id = talloc_strdup (cancel, id);
  cancel->n_pending = 1;
  entry->n_cancels++;
  for (i = 0; i < HS_PEERS_MAX; i++)
    {
      if (!entry->peers[i].used)
        continue;
      cancel->n_pending++;
      if (!hs_conn_call (entry->peers[i].conn, HSX_CANCEL_JOB, &args,
                         ANSWER_TIMEOUT, on_answer, cancel))
        on_answer (cancel, HS_RPC_UNSENT, NULL);
    }
  cancel->n_asked = cancel->n_pending - 1;
  release (cancel);
  return true;
}

void
hs_entry_cancel_answer (HsDirectEntry *entry,
                        HsConn *conn,
                        HsRpcCallId call,
                        const hsx_cancel_job_args *args,
                        HsTime now)
{
  hsx_cancel_job_reply answer
      = { hs_jobs_cancel (entry->jobs, args->customer, args->id, now) };

  hs_conn_reply (conn, call, HSX_CANCEL_JOB, &answer);
}

static void
on_answer (void *arg, HsRpcStatus status, const void *result)
{
  Cancel *cancel = arg;
  const hsx_cancel_job_reply *answer = result;

  if (status != HS_RPC_OK)
    cancel->n_unknown++;
  else if (answer->cancelled)
    reply (cancel, HS_REPLY_CANCEL_APPLIED);
  release (cancel);
}

static void
release (Cancel *cancel)
{
  if (--cancel->n_pending > 0)
    return;
  reply (cancel, cancel->n_unknown > 0 ? HS_REPLY_INCOMPLETE : HS_REPLY_NO_JOB);
  hs_event ("cancel", "job=%s asked=%u unknown=%u outcome=%d", cancel->id,
            cancel->n_asked, cancel->n_unknown, (int) cancel->outcome);
  cancel->entry->n_cancels--;
  talloc_free (cancel);
}

static void
reply (Cancel *cancel, HsReplyKind kind)
{
  HsDirectEntry *entry = cancel->entry;

  if (cancel->replied)
    return;
  cancel->replied = true;
  cancel->outcome = kind;
  /* The server is gone when a stopping entry closes its connections. */
  if (entry->callers != NULL)
    hs_caller_server_reply (entry->callers, cancel->request,
                            &(HsReply){ .kind = kind });
}
