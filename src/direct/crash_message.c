#include "direct/crash_message.h"

#include <string.h>

#include <glib.h>

static hsx_crash_customer *find_or_add_customer (HsCrashMessage *message,
                                                 const HsCrashTask *task);

void
hs_crash_message_fill (HsCrashMessage *message,
                       const HsCrash *record,
                       HsTime now)
{
  hsx_crash *crash = &message->crash;
  uint32_t i;

  *crash = (hsx_crash){ .number = record->number, .stage = record->stage };
  crash->ago_us = (unsigned int) CLAMP (now - record->at, 0, UINT32_MAX);
  crash->silent = record->silent;
  crash->customers.customers_val = message->customers;
  crash->tasks.tasks_val = message->tasks;
  for (i = 0; i < record->n_tasks; i++)
    {
      const HsCrashTask *task = &record->tasks[i];
      hsx_crash_customer *customer = find_or_add_customer (message, task);

      customer->age_us
          = (unsigned int) MIN ((HsTime) customer->age_us, task->age);
      message->tasks[i] = (hsx_crash_task){ .job = (char *) task->key.job,
                                            .customer = customer->name,
                                            .index = task->key.index,
                                            .certain = task->certain };
    }
  crash->tasks.tasks_len = record->n_tasks;
}

static hsx_crash_customer *
find_or_add_customer (HsCrashMessage *message, const HsCrashTask *task)
{
  hsx_crash *crash = &message->crash;
  hsx_crash_customer *customer;
  uint32_t i;

  for (i = 0; i < crash->customers.customers_len; i++)
    if (strcmp (message->customers[i].name, task->customer) == 0)
      return &message->customers[i];
  customer = &message->customers[crash->customers.customers_len++];
  customer->name = (char *) task->customer;
  customer->age_us = UINT32_MAX;
  customer->jobs_milli
      = (unsigned int) MIN (task->customer_jobs_per_s * 1000, UINT32_MAX);
  return customer;
}
