#include "policy/start_rates.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "proto/hspoke.h"

/** Time constant of the averages. */
#define WINDOW (5 * HS_SEC)

/** Until jobs have been counted for this long, the rates are taken as if they
 *  had: a few starts tell no rate. */
#define SPAN_MIN (500 * HS_MSEC)

/** Customers that are remembered; the one that started nothing for longest is
 *  forgotten first. */
#define CUSTOMERS_MAX 256

typedef struct
{
  char customer[HSX_NAME_MAX + 1];
  guint last_job_hash;
  double sum; /* Jobs started; decays exponentially. */
  HsTime updated_at;
  HsTime since; /* First start. */
} Row;

struct HsStartRates
{
  Row rows[CUSTOMERS_MAX];
  uint32_t n_rows;
};

static const Row *find (const HsStartRates *rates, const char *customer);
static Row *find_or_add (HsStartRates *rates, const char *customer, HsTime now);
static double decay (const Row *row, HsTime now);

HsStartRates *
hs_start_rates_new (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, HsStartRates);
}

void
hs_start_rates_add (HsStartRates *rates,
                    const char *customer,
                    const char *job,
                    HsTime now)
{
  Row *row = find_or_add (rates, customer, now);
  guint hash = g_str_hash (job);

  if (row->sum > 0 && row->last_job_hash == hash)
    return;
  row->sum = row->sum * decay (row, now) + 1;
  row->updated_at = now;
  row->last_job_hash = hash;
}

double
hs_start_rates_per_s (const HsStartRates *rates,
                      const char *customer,
                      HsTime now)
{
  const Row *row = find (rates, customer);
  double span_windows;

  if (row == NULL)
    return 0;
  span_windows = (double) MAX (now - row->since, SPAN_MIN) / WINDOW;
  return row->sum * decay (row, now) / (1 - exp (-span_windows))
         * ((double) HS_SEC / WINDOW);
}

static const Row *
find (const HsStartRates *rates, const char *customer)
{
  uint32_t i;

  for (i = 0; i < rates->n_rows; i++)
    if (strcmp (rates->rows[i].customer, customer) == 0)
      return &rates->rows[i];
  return NULL;
}

static Row *
find_or_add (HsStartRates *rates, const char *customer, HsTime now)
{
  const Row *known = find (rates, customer);
  Row *row = &rates->rows[0];
  uint32_t i;

  if (known != NULL)
    return &rates->rows[known - rates->rows];
  if (rates->n_rows < CUSTOMERS_MAX)
    row = &rates->rows[rates->n_rows++];
  else
    for (i = 1; i < CUSTOMERS_MAX; i++)
      if (rates->rows[i].updated_at < row->updated_at)
        row = &rates->rows[i];
  memset (row, 0, sizeof *row);
  g_strlcpy (row->customer, customer, sizeof row->customer);
  row->since = now;
  row->updated_at = now;
  return row;
}

static double
decay (const Row *row, HsTime now)
{
  return exp (-(double) (now - row->updated_at) / WINDOW);
}
