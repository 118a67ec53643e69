/* Cancelling with the other entries. They are told of each job that was
   cancelled here, so that a later request for it starts nothing there; and
   asked about one that this entry doesn't have. A caller's DELETE may reach
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

/** An entry that connects is sent the jobs cancelled within this time: a
 *  request was seen to arrive again 5.5 s after its answer. Jobs that were in
 *  progress at an earlier cancelling are over, as callers wait for 1.5 s. */
#define RESEND_SPAN (10 * HS_SEC)

/** Limit on their number: 10 s at 205 cancelled jobs/s, a quarter of the
 * highest demand. At some 40 bytes each they take 35 ms on a link of 19 Mbit/s,
 * which all entries may use at once for one that has restarted. */
#define RESEND_MAX 2048

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

  hs_cancelled_jobs_add (entry->cancelled_jobs, args->customer, args->id, now,
                         now);
  hs_conn_reply (conn, call, HSX_CANCEL_JOB, &answer);
}

void
hs_entry_cancel_notify (HsDirectEntry *entry,
                        const char *customer,
                        const char *id)
{
  char name[HSX_NAME_MAX + 1];
  hsx_cancelled_job job = { .customer = name, .id = (char *) id };
  hsx_job_cancelled_args args = { .jobs = { 1, &job } };
  uint32_t i;

  g_strlcpy (name, customer, sizeof name);
  for (i = 0; i < HS_PEERS_MAX; i++)
    if (entry->peers[i].used)
      hs_conn_call (entry->peers[i].conn, HSX_JOB_CANCELLED, &args, HS_NEVER,
                    NULL, NULL);
}

void
hs_entry_cancel_peer_connected (HsDirectEntry *entry,
                                HsEntryPeer *peer,
                                HsTime now)
{
  HsCancelledJob *list = talloc_array (entry, HsCancelledJob, RESEND_MAX);
  hsx_cancelled_job *records
      = talloc_array (list, hsx_cancelled_job, RESEND_MAX);
  uint32_t n = hs_cancelled_jobs_list (entry->cancelled_jobs, now - RESEND_SPAN,
                                       list, RESEND_MAX);
  hsx_job_cancelled_args args = { .jobs = { n, records } };
  uint32_t i;

  for (i = 0; i < n; i++)
    records[n - 1 - i] = (hsx_cancelled_job){
      .customer = (char *) list[i].customer,
      .id = (char *) list[i].id,
      .age_ms = (uint32_t) ((now - list[i].cancelled_at) / HS_MSEC)
    };
  if (n > 0)
    hs_conn_call (peer->conn, HSX_JOB_CANCELLED, &args, HS_NEVER, NULL, NULL);
  talloc_free (list);
}

void
hs_entry_cancel_receive (HsDirectEntry *entry,
                         const hsx_job_cancelled_args *args,
                         HsTime now)
{
  uint32_t i;

  for (i = 0; i < args->jobs.jobs_len; i++)
    {
      const hsx_cancelled_job *job = &args->jobs.jobs_val[i];

      /* A job that is known as cancelled isn't in progress here. */
      if (hs_cancelled_jobs_add (entry->cancelled_jobs, job->customer, job->id,
                                 now - job->age_ms * HS_MSEC, now))
        hs_jobs_cancel (entry->jobs, job->customer, job->id, now);
    }
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
