#include "agent/internal.h"

/** Limit at which a reply takes no more result bodies. */
#define REPLY_BYTES_MAX (4 * 1024 * 1024)

static bool register_owner (HsAgent *agent,
                            HsConnectedEntry *sender,
                            const hsx_recover_args *args,
                            bool *parts);
static void settle_task (HsAgent *agent,
                         const hsx_task_key *key,
                         HsTime now,
                         hsx_result *result);

void
hs_agent_on_recover (HsAgent *agent,
                     HsConnectedEntry *sender,
                     HsConn *conn,
                     HsRpcCallId call,
                     const hsx_recover_args *args)
{
  bool parts[HSX_PARTS_MAX] = { false };
  hsx_result *records = talloc_array (NULL, hsx_result, HSX_RECORDS_MAX);
  hsx_recover_reply reply = { .records.records_val = records };
  HsRecordHandle handle = args->cursor;
  size_t bytes = 0;
  uint32_t n = 0;

  if (register_owner (agent, sender, args, parts))
    reply.remembers_s = hs_start_log_retention_s (agent->start_log);
  while ((handle = hs_start_log_next (agent->start_log, handle, parts)) != 0)
    {
      hs_start_log_get_result (agent->start_log, handle, &records[n]);
      bytes += records[n].body.body_len;
      if (n > 0 && bytes > REPLY_BYTES_MAX)
        break;
      reply.next = handle;
      if (++n == HSX_RECORDS_MAX)
        break;
    }
  if (handle == 0)
    reply.next = 0;
  reply.records.records_len = n;
  hs_conn_reply (conn, call, HSX_RECOVER, &reply);
  talloc_free (records);
}

void
hs_agent_on_settle (HsAgent *agent,
                    HsConn *conn,
                    HsRpcCallId call,
                    const hsx_settle_args *args,
                    HsTime now)
{
  hsx_result results[HSX_BATCH_MAX];
  hsx_settle_reply reply = { .results.results_val = results };
  size_t bytes = 0;
  uint32_t n;

  for (n = 0; n < args->keys.keys_len && bytes <= REPLY_BYTES_MAX; n++)
    {
      settle_task (agent, &args->keys.keys_val[n], now, &results[n]);
      bytes += results[n].body.body_len;
    }
  reply.results.results_len = n;
  hs_conn_reply (conn, call, HSX_SETTLE, &reply);
}

/* Registers the caller as owner and receiver of the results of partitions.
   Partitions that have a newer owner are not set in @p parts; the reply then
   reports a retention of 0 seconds, so that the caller does not conclude that
   a task without a record never started. Returns false in that case. */
static bool
register_owner (HsAgent *agent,
                HsConnectedEntry *sender,
                const hsx_recover_args *args,
                bool *parts)
{
  bool all = true;
  uint32_t i;

  for (i = 0; i < args->parts.parts_len; i++)
    {
      const hsx_part_epoch *owned = &args->parts.parts_val[i];

      if (!hs_admission_raise_epoch (agent->admission, owned->part,
                                     owned->epoch))
        {
          all = false;
          continue;
        }
      parts[owned->part] = true;
      agent->result_receivers[owned->part]
          = hs_connected_entry_incarnation (sender);
    }
  return all;
}

/* Fences a task that has no record. One whose partition is out of range needs
   no record, as admission refuses each of its starts. */
static void
settle_task (HsAgent *agent,
             const hsx_task_key *key,
             HsTime now,
             hsx_result *result)
{
  HsRecordHandle handle = hs_start_log_find (agent->start_log, key);

  if (handle == 0 && key->part >= HSX_PARTS_MAX)
    {
      *result = (hsx_result){ .key = *key,
                              .outcome = HSX_REFUSED,
                              .refusal = HSX_REFUSAL_FENCED };
      return;
    }
  if (handle == 0)
    handle = hs_start_log_add_fence (agent->start_log, key, now);
  hs_start_log_get_result (agent->start_log, handle, result);
}
