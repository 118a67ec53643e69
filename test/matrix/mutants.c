#include "mutants.h"

#include <string.h>

#include "agent/internal.h"

#define UNLIMITED_PERMIT (3600 * HS_SEC)

static const char *const NAMES[MUTANT_COUNT]
    = { "none",    "gate",    "memory",  "settle", "lease",
        "compare", "claim",   "limits",  "stale",  "leave",
        "partial", "crossed", "not-run", "drain",  "told" };

static Mutant active;

static void widen_permits (const Proc *to, hsx_start_args *args);
static void refuse_all (hsx_settle_reply *reply);

const char *
mutant_name (Mutant mutant)
{
  return NAMES[mutant];
}

void
mutant_select (Mutant mutant)
{
  active = mutant;
}

bool
mutant_is_active (Mutant mutant)
{
  return active == mutant;
}

void
mutant_alter_call (const Proc *to, uint32_t proc, void *args)
{
  if (active == MUTANT_GATE && proc == HSX_START)
    widen_permits (to, args);
  if (active == MUTANT_TOLD && proc == HSX_SUSPECT)
    ((hsx_suspect_args *) args)->incarnation = 0;
}

/* Entries cut from the array are leaked, which is acceptable in a run that is
   meant to fail. */
void
mutant_alter_reply (uint32_t proc, void *result)
{
  if (active == MUTANT_MEMORY && proc == HSX_RECOVER)
    ((hsx_recover_reply *) result)->records.records_len = 0;
  if (active == MUTANT_SETTLE && proc == HSX_SETTLE)
    refuse_all (result);
}

void
mutant_alter_answer (hsx_answer *answer)
{
  u_int n = answer->tasks.tasks_len;
  hsx_task_answer *tasks = answer->tasks.tasks_val;
  u_int i;

  if (active == MUTANT_PARTIAL && n > 1)
    answer->tasks.tasks_len--;
  if (active == MUTANT_CROSSED && n > 1)
    {
      hsx_task_answer first = tasks[0];

      tasks[0] = tasks[1];
      tasks[1] = first;
    }
  for (i = 0; active == MUTANT_NOT_RUN && i < n; i++)
    if (tasks[i].state == HSX_TASK_FAILED
        || tasks[i].state == HSX_TASK_MAY_HAVE_RUN)
      tasks[i].state = HSX_TASK_NOT_RUN;
}

static void
widen_permits (const Proc *to, hsx_start_args *args)
{
  u_int i;

  for (i = 0; i < args->starts.starts_len; i++)
    {
      hsx_start *start = &args->starts.starts_val[i];
      uint64_t epoch
          = hs_admission_epoch (to->agent->admission, start->key.part);

      start->permit_us = UNLIMITED_PERMIT;
      start->epoch = MAX (start->epoch, epoch);
    }
}

static void
refuse_all (hsx_settle_reply *reply)
{
  u_int i;

  for (i = 0; i < reply->results.results_len; i++)
    {
      reply->results.results_val[i].outcome = HSX_REFUSED;
      reply->results.results_val[i].refusal = HSX_REFUSAL_FENCED;
    }
}
