#include "target_model.h"

#include <string.h>

/** The longest lease that the model grants. */
#define LEASE_GRANT_MAX (1 * HS_SEC)

static bool same_task (const HsRunKey *a, const HsRunKey *b);
static void
finish_run (HsTargetModel *model, guint i, hsx_end_how how, HsTime at);
static void renew (HsTargetModel *model, int64_t until_ms, HsTime now);
static bool is_finished (const HsTargetModel *model, const HsRunKey *key);

void
hs_target_model_init (HsTargetModel *model, HsTime now)
{
  memset (model, 0, sizeof *model);
  model->started_ms = now / HS_MSEC;
  model->started_at = now;
  model->runs = g_array_new (FALSE, FALSE, sizeof (HsModelRun));
  model->ends = g_array_new (FALSE, FALSE, sizeof (HsListedEnd));
  model->finished = g_array_new (FALSE, FALSE, sizeof (HsRunKey));
}

void
hs_target_model_clear (HsTargetModel *model)
{
  g_array_unref (model->runs);
  g_array_unref (model->ends);
  g_array_unref (model->finished);
}

void
hs_target_model_restart (HsTargetModel *model, HsTime now)
{
  hs_target_model_clear (model);
  hs_target_model_init (model, now);
}

void
hs_target_model_advance (HsTargetModel *model, HsTime now)
{
  guint i = 0;

  while (i < model->runs->len)
    {
      const HsModelRun *run = &g_array_index (model->runs, HsModelRun, i);

      if (!run->hangs && now >= run->started + run->run_time)
        finish_run (model, i, HSX_END_DONE, run->started + run->run_time);
      else if (now >= model->lease_until)
        finish_run (model, i, HSX_END_LAPSED, model->lease_until);
      else
        i++;
    }
}

HsTargetResult
hs_target_model_start (HsTargetModel *model,
                       const HsTargetStart *start,
                       HsTime run_time,
                       bool hangs,
                       uint32_t cpu_milli,
                       HsTime now)
{
  HsModelRun row = { start->key, now, run_time, hangs, cpu_milli };
  guint i;

  hs_target_model_advance (model, now);
  if (start->token < model->token)
    return HS_TARGET_FENCED;
  model->token = start->token;
  if (start->lease_until_ms <= hs_target_model_clock_ms (model, now))
    return HS_TARGET_LEASE_EXPIRED;
  renew (model, start->lease_until_ms, now);
  for (i = 0; i < model->runs->len; i++)
    {
      const HsRunKey *other = &g_array_index (model->runs, HsModelRun, i).key;

      if (same_task (other, &start->key))
        return other->attempt == start->key.attempt ? HS_TARGET_OK
                                                    : HS_TARGET_OUTDATED;
    }
  if (is_finished (model, &start->key))
    return HS_TARGET_OUTDATED;
  g_array_append_val (model->runs, row);
  model->cpu_milli += cpu_milli;
  if (model->observe != NULL)
    model->observe (&row.key, 0, now);
  return HS_TARGET_OK;
}

HsTargetResult
hs_target_model_stop (HsTargetModel *model,
                      const HsRunKey *key,
                      uint64_t token,
                      HsTime now)
{
  guint i;

  hs_target_model_advance (model, now);
  if (token < model->token)
    return HS_TARGET_FENCED;
  model->token = token;
  for (i = 0; i < model->runs->len; i++)
    {
      const HsRunKey *other = &g_array_index (model->runs, HsModelRun, i).key;

      if (same_task (other, key) && other->attempt == key->attempt)
        {
          finish_run (model, i, HSX_END_STOPPED, now);
          return HS_TARGET_OK;
        }
    }
  g_array_append_val (model->finished, *key);
  return HS_TARGET_OK;
}

HsTargetResult
hs_target_model_poll (HsTargetModel *model,
                      const HsTargetPoll *poll,
                      HsTargetList *list,
                      HsTime now)
{
  HsTargetResult result = hs_target_model_receive_poll (model, poll, now);

  memset (list, 0, sizeof *list);
  if (result == HS_TARGET_OK)
    hs_target_model_write_list (model, list, now);
  return result;
}

HsTargetResult
hs_target_model_receive_poll (HsTargetModel *model,
                              const HsTargetPoll *poll,
                              HsTime now)
{
  hs_target_model_advance (model, now);
  if (poll->token < model->token)
    return HS_TARGET_FENCED;
  model->token = poll->token;
  if (poll->renews_lease)
    renew (model, poll->lease_until_ms, now);
  while (model->ends->len > 0
         && g_array_index (model->ends, HsListedEnd, 0).number <= poll->acked)
    g_array_remove_index (model->ends, 0);
  return HS_TARGET_OK;
}

void
hs_target_model_write_list (HsTargetModel *model,
                            HsTargetList *list,
                            HsTime now)
{
  guint i;

  memset (list, 0, sizeof *list);
  hs_target_model_advance (model, now);
  list->clock_ms = hs_target_model_clock_ms (model, now);
  list->started_ms = model->started_ms;
  list->n_running = model->runs->len;
  list->running = g_new0 (HsListedRun, model->runs->len + 1);
  for (i = 0; i < model->runs->len; i++)
    {
      const HsModelRun *run = &g_array_index (model->runs, HsModelRun, i);

      list->running[i].key = run->key;
      list->running[i].percent
          = run->hangs ? 0 : (int) ((now - run->started) * 100 / run->run_time);
    }
  list->n_ends = model->ends->len;
  list->ends = g_new0 (HsListedEnd, model->ends->len + 1);
  for (i = 0; i < model->ends->len; i++)
    list->ends[i] = g_array_index (model->ends, HsListedEnd, i);
}

static bool
same_task (const HsRunKey *a, const HsRunKey *b)
{
  return strcmp (a->job, b->job) == 0 && a->step == b->step
         && a->index == b->index;
}

static bool
is_finished (const HsTargetModel *model, const HsRunKey *key)
{
  guint i;

  for (i = 0; i < model->finished->len; i++)
    {
      const HsRunKey *other = &g_array_index (model->finished, HsRunKey, i);

      if (same_task (other, key) && key->attempt <= other->attempt)
        return true;
    }
  return false;
}

static void
finish_run (HsTargetModel *model, guint i, hsx_end_how how, HsTime at)
{
  HsModelRun *run = &g_array_index (model->runs, HsModelRun, i);
  HsListedEnd end = { ++model->n_ends, run->key, how };

  model->cpu_milli -= run->cpu_milli;
  if (model->observe != NULL)
    model->observe (&run->key, how, at);
  g_array_append_val (model->ends, end);
  g_array_append_val (model->finished, run->key);
  g_array_remove_index (model->runs, i);
}

int64_t
hs_target_model_clock_ms (const HsTargetModel *model, HsTime now)
{
  return model->clock_start_ms + (now - model->started_at) * 98 / 100 / HS_MSEC;
}

static void
renew (HsTargetModel *model, int64_t until_ms, HsTime now)
{
  HsTime span = (until_ms - hs_target_model_clock_ms (model, now)) * HS_MSEC;

  span = MIN (span, LEASE_GRANT_MAX) * 102 / 100;
  model->lease_until = MAX (model->lease_until, now + span);
}
