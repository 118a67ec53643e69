#include "runner_model.h"

#include <string.h>

/** The longest lease, and how slow the model's clock is. */
#define HOLD_MAX (1 * HS_SEC)

static bool same_task (const HsRunKey *a, const HsRunKey *b);
static void end_run (HsRunnerModel *model, guint i, hsx_end_how how, HsTime at);
static int64_t clock_ms (const HsRunnerModel *model, HsTime now);
static void renew (HsRunnerModel *model, int64_t until_ms, HsTime now);
static bool was_past (const HsRunnerModel *model, const HsRunKey *key);

void
hs_runner_model_init (HsRunnerModel *model, HsTime now)
{
  memset (model, 0, sizeof *model);
  model->born_ms = now / HS_MSEC;
  model->born_at = now;
  model->runs = g_array_new (FALSE, FALSE, sizeof (HsModelRun));
  model->ends = g_array_new (FALSE, FALSE, sizeof (HsListedEnd));
  model->past = g_array_new (FALSE, FALSE, sizeof (HsRunKey));
}

void
hs_runner_model_clear (HsRunnerModel *model)
{
  g_array_unref (model->runs);
  g_array_unref (model->ends);
  g_array_unref (model->past);
}

void
hs_runner_model_reborn (HsRunnerModel *model, HsTime now)
{
  hs_runner_model_clear (model);
  hs_runner_model_init (model, now);
}

void
hs_runner_model_advance (HsRunnerModel *model, HsTime now)
{
  guint i = 0;

  while (i < model->runs->len)
    {
      const HsModelRun *run = &g_array_index (model->runs, HsModelRun, i);

      if (!run->hangs && now >= run->started + run->run)
        end_run (model, i, HSX_END_DONE, run->started + run->run);
      else if (now >= model->lease_until)
        end_run (model, i, HSX_END_LAPSED, model->lease_until);
      else
        i++;
    }
}

HsTargetResult
hs_runner_model_start (HsRunnerModel *model,
                       const HsTargetStart *start,
                       HsTime run,
                       bool hangs,
                       uint32_t cpu_milli,
                       HsTime now)
{
  HsModelRun row = { start->key, now, run, hangs, cpu_milli };
  guint i;

  hs_runner_model_advance (model, now);
  if (start->token < model->token)
    return HS_TARGET_FENCED;
  model->token = start->token;
  if (start->lease_until_ms <= clock_ms (model, now))
    return HS_TARGET_LATE;
  renew (model, start->lease_until_ms, now);
  for (i = 0; i < model->runs->len; i++)
    {
      const HsRunKey *other = &g_array_index (model->runs, HsModelRun, i).key;

      if (same_task (other, &start->key))
        return other->attempt == start->key.attempt ? HS_TARGET_OK
                                                    : HS_TARGET_OUTDATED;
    }
  if (was_past (model, &start->key))
    return HS_TARGET_OUTDATED;
  g_array_append_val (model->runs, row);
  model->cpu_milli += cpu_milli;
  if (model->note != NULL)
    model->note (&row.key, 0, now);
  return HS_TARGET_OK;
}

HsTargetResult
hs_runner_model_stop (HsRunnerModel *model,
                      const HsRunKey *key,
                      uint64_t token,
                      HsTime now)
{
  guint i;

  hs_runner_model_advance (model, now);
  if (token < model->token)
    return HS_TARGET_FENCED;
  model->token = token;
  for (i = 0; i < model->runs->len; i++)
    {
      const HsRunKey *other = &g_array_index (model->runs, HsModelRun, i).key;

      if (same_task (other, key) && other->attempt == key->attempt)
        {
          end_run (model, i, HSX_END_STOPPED, now);
          return HS_TARGET_OK;
        }
    }
  g_array_append_val (model->past, *key);
  return HS_TARGET_OK;
}

HsTargetResult
hs_runner_model_look (HsRunnerModel *model,
                      const HsTargetLook *look,
                      HsTargetList *list,
                      HsTime now)
{
  guint i;

  memset (list, 0, sizeof *list);
  hs_runner_model_advance (model, now);
  if (look->token < model->token)
    return HS_TARGET_FENCED;
  model->token = look->token;
  if (look->renews)
    renew (model, look->lease_until_ms, now);
  while (model->ends->len > 0
         && g_array_index (model->ends, HsListedEnd, 0).number <= look->acked)
    g_array_remove_index (model->ends, 0);
  list->clock_ms = clock_ms (model, now);
  list->born_ms = model->born_ms;
  list->n_running = model->runs->len;
  list->running = g_new0 (HsListedRun, model->runs->len + 1);
  for (i = 0; i < model->runs->len; i++)
    {
      const HsModelRun *run = &g_array_index (model->runs, HsModelRun, i);

      list->running[i].key = run->key;
      list->running[i].percent
          = run->hangs ? 0 : (int) ((now - run->started) * 100 / run->run);
    }
  list->n_ends = model->ends->len;
  list->ends = g_new0 (HsListedEnd, model->ends->len + 1);
  for (i = 0; i < model->ends->len; i++)
    list->ends[i] = g_array_index (model->ends, HsListedEnd, i);
  return HS_TARGET_OK;
}

static bool
same_task (const HsRunKey *a, const HsRunKey *b)
{
  return strcmp (a->job, b->job) == 0 && a->step == b->step
         && a->index == b->index;
}

static bool
was_past (const HsRunnerModel *model, const HsRunKey *key)
{
  guint i;

  for (i = 0; i < model->past->len; i++)
    {
      const HsRunKey *other = &g_array_index (model->past, HsRunKey, i);

      if (same_task (other, key) && key->attempt <= other->attempt)
        return true;
    }
  return false;
}

static void
end_run (HsRunnerModel *model, guint i, hsx_end_how how, HsTime at)
{
  HsModelRun *run = &g_array_index (model->runs, HsModelRun, i);
  HsListedEnd end = { ++model->n_ends, run->key, how };

  model->cpu_milli -= run->cpu_milli;
  if (model->note != NULL)
    model->note (&run->key, how, at);
  g_array_append_val (model->ends, end);
  g_array_append_val (model->past, run->key);
  g_array_remove_index (model->runs, i);
}

/* Two per cent slow, and it starts with the incarnation. */
static int64_t
clock_ms (const HsRunnerModel *model, HsTime now)
{
  return (now - model->born_at) * 98 / 100 / HS_MSEC;
}

static void
renew (HsRunnerModel *model, int64_t until_ms, HsTime now)
{
  HsTime span = (until_ms - clock_ms (model, now)) * HS_MSEC;

  span = MIN (span, HOLD_MAX) * 102 / 100;
  model->lease_until = MAX (model->lease_until, now + span);
}
