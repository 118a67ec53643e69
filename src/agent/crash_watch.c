#include "agent/crash_watch.h"

#include <string.h>

#include <glib.h>

#include "policy/start_rates.h"

/** Calls that broke off at most this long before the target refused a
 *  connection belong to the crash. */
#define CRASH_SPAN (1 * HS_SEC)

typedef struct
{
  char customer[HSX_NAME_MAX + 1];
  HsTime age; /* Of the task when its call broke. */
  HsTime broken_at;
} BrokenCall;

struct HsCrashWatch
{
  HsStartRates *rates;
  BrokenCall calls[HSX_CRASH_TASKS_MAX];
  uint32_t n_calls; /* So far; the last ones are kept. */
  uint32_t n_crashes;
};

static hsx_crash_customer *find_or_add (HsCrashReport *report, char *customer);

HsCrashWatch *
hs_crash_watch_new (TALLOC_CTX *ctx)
{
  HsCrashWatch *watch = talloc_zero (ctx, HsCrashWatch);

  watch->rates = hs_start_rates_new (watch);
  return watch;
}

void
hs_crash_watch_started (HsCrashWatch *watch,
                        const char *customer,
                        const char *job,
                        HsTime now)
{
  hs_start_rates_add (watch->rates, customer, job, now);
}

void
hs_crash_watch_broken (HsCrashWatch *watch,
                       const char *customer,
                       HsTime started_at,
                       HsTime now)
{
  BrokenCall *call = &watch->calls[watch->n_calls++ % HSX_CRASH_TASKS_MAX];

  g_strlcpy (call->customer, customer, sizeof call->customer);
  call->age = now - started_at;
  call->broken_at = now;
}

bool
hs_crash_watch_refused (HsCrashWatch *watch, HsCrashReport *report, HsTime now)
{
  uint32_t n = MIN (watch->n_calls, HSX_CRASH_TASKS_MAX);
  HsTime first = now;
  uint32_t i;

  memset (report, 0, sizeof *report);
  report->crash.customers.customers_val = report->customers;
  for (i = 0; i < n; i++)
    {
      BrokenCall *call = &watch->calls[i];
      hsx_crash_customer *customer;

      if (now - call->broken_at > CRASH_SPAN)
        continue;
      first = MIN (first, call->broken_at);
      customer = find_or_add (report, call->customer);
      customer->age_us
          = (unsigned int) MIN ((HsTime) customer->age_us, call->age);
      customer->jobs_milli
          = (unsigned int) (hs_start_rates_per_s (watch->rates, call->customer,
                                                  call->broken_at)
                            * 1000);
    }
  watch->n_calls = 0;
  if (report->crash.customers.customers_len == 0)
    return false;
  report->crash.number = ++watch->n_crashes;
  report->crash.ago_us = (unsigned int) (now - first);
  report->crash.service = (char *) "";
  report->crash.host = (char *) "";
  return true;
}

static hsx_crash_customer *
find_or_add (HsCrashReport *report, char *customer)
{
  u_int n = report->crash.customers.customers_len;
  u_int i;

  for (i = 0; i < n; i++)
    if (strcmp (report->customers[i].name, customer) == 0)
      return &report->customers[i];
  report->customers[n].name = customer;
  report->customers[n].age_us = UINT32_MAX;
  report->crash.customers.customers_len++;
  return &report->customers[n];
}
