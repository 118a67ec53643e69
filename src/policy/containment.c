#include "policy/containment.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "proto/hspoke.h"

/** Time constants with which evidence and crashes are forgotten. A target is
 *  down for two to four seconds after a crash. */
#define EVIDENCE_MEMORY (5 * HS_SEC)
#define CRASH_MEMORY (2 * HS_SEC)

/** Crashes less than this apart, besides what their times may be off, have one
 *  cause, such as a rack without power: reports take that long. */
#define COINCIDENCE (5 * HS_MSEC)

/** Decaying number of crashes from which on they do more harm than containing a
 *  customer: two within half a second, or more than one a second; where there
 * are many targets, a crash for one in so many of them. This share of it is
 * enough for a customer that was contained before. */
#define LEVEL_MIN 1.75
#define TARGETS_PER_CRASH 20
#define LEVEL_AGAIN_SHARE 0.75

/** At so many times more crashes it is no longer awaited which of several
 * customers the evidence is against: they are contained together. */
#define URGENT_FACTOR 2.8

/** Evidence that contains a customer, in nats; by chance a crash adds nothing
 * in the mean. The evidence is clear if it exceeds that against any other
 * customer by MARGIN. */
#define SCORE_MIN 2.5
#define MARGIN 0.7

/** Bound on the evidence of one crash, so that one alone contains nobody. */
#define EVIDENCE_MAX 3.0

/** Tasks that crash their target mostly do so at the same point of their run.
 * The ages at two crashes are the same if they differ by no more than this
 * share, and the accuracy of an age; that adds at most SAME_AGE_MAX to the
 * evidence. */
#define SAME_AGE_DIVISOR 10
#define SAME_AGE_MAX 2.0

/** Assumed rate of a customer that has hardly started anything there. */
#define JOBS_PER_S_MIN 0.2

/** The age of a task is known to this accuracy. */
#define AGE_MIN (2 * HS_MSEC)

/** Shortest containment, and the jobs that have to end well meanwhile. Both
 *  double with each containment up to DOUBLINGS_MAX times, unless the last one
 *  ended longer ago than REPEAT_SPAN. */
#define HOLD_MIN (1 * HS_SEC)
#define JOBS_MIN 10
#define DOUBLINGS_MAX 4
#define REPEAT_SPAN (30 * HS_SEC)

/** A customer whose tasks haven't crashed any target for this long is released
 *  even if it has had no jobs. */
#define HOLD_MAX (20 * HS_SEC)

/** Customers that are remembered; more are never contained. */
#define CUSTOMERS_MAX 4096

typedef struct
{
  char service[HSX_NAME_MAX + 1];
  char customer[HSX_NAME_MAX + 1];
  double score; /* Evidence at `score_at`, in nats. */
  HsTime score_at;
  HsTime last_age; /* Of its youngest task at the last crash; 0: none. */
  bool contained;
  bool reported;        /* `contained` as last returned as a change. */
  uint32_t n_doublings; /* Of its hold, for repeated containments. */
  HsTime crashed_at;    /* Last crash while contained. */
  uint32_t n_done;      /* Jobs that have ended well since. */
  HsTime released_at;   /* 0: never. */
} Customer;

typedef struct
{
  char name[HSX_NAME_MAX + 1];
  double level; /* Decaying number of crashes at `crashed_at`. */
  HsTime crashed_at;
} Service;

struct HsContainment
{
  GArray *customers; /* Customer, by handle. */
  GArray *services;  /* Service. */
  uint32_t n_contained;
};

static int free_containment (HsContainment *containment);
static Customer *get (const HsContainment *containment, uint32_t handle);
static Service *find_service (HsContainment *containment, const char *name);
static const HsCrashSuspect *find_suspect (const Customer *customer,
                                           const HsCrashEvidence *crash);
static double evidence_of_same_age (const HsCrashSuspect *suspect,
                                    const HsCrashEvidence *crash,
                                    HsTime last_age);
static double
unlikeliness (const HsCrashSuspect *suspect, HsTime span, double max);
static void accumulate (double *sum,
                        HsTime *sum_at,
                        HsTime at,
                        double amount,
                        HsTime memory);
static double evidence_of (const HsCrashSuspect *suspect,
                           const HsCrashEvidence *crash);
static void add_evidence (Customer *customer,
                          const HsCrashSuspect *suspect,
                          const HsCrashEvidence *crash);
static void judge (HsContainment *containment, const HsCrashEvidence *crash);
static bool explains (const Customer *customer, const HsCrashEvidence *crash);
static void contain_worst (HsContainment *containment,
                           Service *service,
                           const HsCrashEvidence *crash,
                           HsTime now);
static bool was_released_too_early (const Customer *customer,
                                    const HsCrashEvidence *crash,
                                    HsTime now);
static void
contain (HsContainment *containment, Customer *customer, HsTime now);
static void forget_others (HsContainment *containment, Service *service);
static void
release (HsContainment *containment, Customer *customer, HsTime now);
static HsTime hold_of (const Customer *customer);
static bool may_be_released (const Customer *customer, HsTime now);

HsContainment *
hs_containment_new (TALLOC_CTX *ctx)
{
  HsContainment *containment = talloc_zero (ctx, HsContainment);

  containment->customers = g_array_new (FALSE, TRUE, sizeof (Customer));
  containment->services = g_array_new (FALSE, TRUE, sizeof (Service));
  talloc_set_destructor (containment, free_containment);
  return containment;
}

uint32_t
hs_containment_customer (HsContainment *containment,
                         const char *service,
                         const char *customer)
{
  Customer row = { 0 };
  uint32_t i;

  g_strlcpy (row.service, service, sizeof row.service);
  g_strlcpy (row.customer, customer, sizeof row.customer);
  for (i = 0; i < containment->customers->len; i++)
    if (strcmp (get (containment, i)->customer, row.customer) == 0
        && strcmp (get (containment, i)->service, row.service) == 0)
      return i;
  if (i == CUSTOMERS_MAX)
    return HS_CONTAINMENT_NONE;
  g_array_append_val (containment->customers, row);
  return i;
}

void
hs_containment_add_crash (HsContainment *containment,
                          const HsCrashEvidence *crash,
                          HsTime now)
{
  Service *service = find_service (containment, crash->service);
  HsTime since = crash->at - service->crashed_at;
  uint32_t i;

  for (i = 0; i < crash->n_suspects; i++)
    hs_containment_customer (containment, crash->service,
                             crash->suspects[i].customer);
  if (service->crashed_at != 0 && ABS (since) < COINCIDENCE + crash->at_error)
    return;
  accumulate (&service->level, &service->crashed_at, crash->at, 1,
              CRASH_MEMORY);
  judge (containment, crash);
  contain_worst (containment, service, crash, now);
}

void
hs_containment_job_done (HsContainment *containment, uint32_t handle)
{
  if (hs_containment_is_contained (containment, handle))
    get (containment, handle)->n_done++;
}

HsTime
hs_containment_tick (HsContainment *containment, HsTime now)
{
  HsTime due = HS_NEVER;
  uint32_t i;

  for (i = 0; i < containment->customers->len; i++)
    {
      Customer *customer = get (containment, i);

      if (!customer->contained)
        continue;
      if (may_be_released (customer, now))
        {
          release (containment, customer, now);
          continue;
        }
      due = MIN (due, now < customer->crashed_at + hold_of (customer)
                          ? customer->crashed_at + hold_of (customer)
                          : customer->crashed_at + HOLD_MAX);
    }
  return due;
}

bool
hs_containment_is_contained (const HsContainment *containment, uint32_t handle)
{
  return handle != HS_CONTAINMENT_NONE && get (containment, handle)->contained;
}

bool
hs_containment_is_active (const HsContainment *containment, const char *service)
{
  uint32_t i;

  for (i = 0; containment->n_contained > 0 && i < containment->customers->len;
       i++)
    if (get (containment, i)->contained
        && strcmp (get (containment, i)->service, service) == 0)
      return true;
  return false;
}

HsTime
hs_containment_time_left (const HsContainment *containment,
                          uint32_t handle,
                          HsTime now)
{
  const Customer *customer;

  if (!hs_containment_is_contained (containment, handle))
    return 0;
  customer = get (containment, handle);
  return MAX (customer->crashed_at + hold_of (customer) - now, 0);
}

bool
hs_containment_next_change (HsContainment *containment,
                            HsContainmentChange *change)
{
  uint32_t i;

  for (i = 0; i < containment->customers->len; i++)
    {
      Customer *customer = get (containment, i);

      if (customer->reported == customer->contained)
        continue;
      customer->reported = customer->contained;
      change->service = customer->service;
      change->customer = customer->customer;
      change->contained = customer->contained;
      change->score = customer->score;
      return true;
    }
  return false;
}

static int
free_containment (HsContainment *containment)
{
  g_array_unref (containment->customers);
  g_array_unref (containment->services);
  return 0;
}

static Customer *
get (const HsContainment *containment, uint32_t handle)
{
  return &g_array_index (containment->customers, Customer, handle);
}

static Service *
find_service (HsContainment *containment, const char *name)
{
  Service row = { 0 };
  guint i;

  g_strlcpy (row.name, name, sizeof row.name);
  for (i = 0; i < containment->services->len; i++)
    if (strcmp (g_array_index (containment->services, Service, i).name,
                row.name)
        == 0)
      return &g_array_index (containment->services, Service, i);
  g_array_append_val (containment->services, row);
  return &g_array_index (containment->services, Service, i);
}

static const HsCrashSuspect *
find_suspect (const Customer *customer, const HsCrashEvidence *crash)
{
  uint32_t i;

  for (i = 0; i < crash->n_suspects; i++)
    if (strcmp (crash->suspects[i].customer, customer->customer) == 0)
      return &crash->suspects[i];
  return NULL;
}

/* How unlikely it is that the customer has started a job so shortly before any
   given moment; 1 in the mean if it has no part in the crash. */
static double
evidence_of (const HsCrashSuspect *suspect, const HsCrashEvidence *crash)
{
  return unlikeliness (suspect, MAX (suspect->age, AGE_MIN + crash->at_error),
                       EVIDENCE_MAX);
}

static double
evidence_of_same_age (const HsCrashSuspect *suspect,
                      const HsCrashEvidence *crash,
                      HsTime last_age)
{
  HsTime tolerance
      = AGE_MIN + crash->at_error + suspect->age / SAME_AGE_DIVISOR;

  if (last_age == 0 || ABS (suspect->age - last_age) > tolerance)
    return 0;
  return unlikeliness (suspect, 2 * tolerance, SAME_AGE_MAX);
}

/* Minus the logarithm of the chance that the customer starts a job in a span of
   that length. */
static double
unlikeliness (const HsCrashSuspect *suspect, HsTime span, double max)
{
  double jobs
      = MAX (suspect->jobs_per_s, JOBS_PER_S_MIN) * (double) span / HS_SEC;

  return MIN (-log (1 - exp (-jobs)), max);
}

/* Adds to a sum that decays with time. Reports of crashes may arrive in another
   order than that of the crashes. */
static void
accumulate (double *sum,
            HsTime *sum_at,
            HsTime at,
            double amount,
            HsTime memory)
{
  double decay = exp (-(double) ABS (at - *sum_at) / (double) memory);

  if (at >= *sum_at)
    {
      *sum = *sum * decay + amount;
      *sum_at = at;
    }
  else
    *sum += amount * decay;
}

/* @suspect: NULL if the customer had no task there. */
static void
add_evidence (Customer *customer,
              const HsCrashSuspect *suspect,
              const HsCrashEvidence *crash)
{
  double evidence = suspect != NULL ? evidence_of (suspect, crash) : 0;

  if (suspect != NULL)
    {
      evidence += evidence_of_same_age (suspect, crash, customer->last_age);
      customer->last_age = suspect->age;
    }
  accumulate (&customer->score, &customer->score_at, crash->at, evidence - 1,
              EVIDENCE_MEMORY);
  customer->score = MAX (customer->score, 0);
}

/* Updates the evidence against all customers. A crash is explained by a
   contained customer that had tasks there, if the target is reserved or the
   evidence is against that customer, and is then no evidence against others. */
static void
judge (HsContainment *containment, const HsCrashEvidence *crash)
{
  uint32_t n_explaining = 0;
  uint32_t i;

  for (i = 0; i < containment->customers->len; i++)
    n_explaining += explains (get (containment, i), crash);
  for (i = 0; i < containment->customers->len; i++)
    {
      Customer *customer = get (containment, i);
      const HsCrashSuspect *suspect = find_suspect (customer, crash);

      if (strcmp (customer->service, crash->service) != 0
          || (n_explaining > 0 && !(customer->contained && suspect != NULL)))
        continue;
      add_evidence (customer, suspect, crash);
      if (!customer->contained)
        continue;
      if (customer->score <= 0)
        release (containment, customer, crash->at);
      else if (explains (customer, crash)
               && (n_explaining == 1 || evidence_of (suspect, crash) > 1))
        {
          customer->crashed_at = MAX (customer->crashed_at, crash->at);
          customer->n_done = 0;
        }
    }
}

static bool
explains (const Customer *customer, const HsCrashEvidence *crash)
{
  const HsCrashSuspect *suspect = find_suspect (customer, crash);

  return customer->contained && suspect != NULL
         && strcmp (customer->service, crash->service) == 0
         && (crash->reserved || evidence_of (suspect, crash) > 1);
}

/* Contains the customer with the strongest evidence against it, of those that
   aren't contained yet. */
static void
contain_worst (HsContainment *containment,
               Service *service,
               const HsCrashEvidence *crash,
               HsTime now)
{
  double level_min
      = MAX (LEVEL_MIN, (double) crash->n_targets / TARGETS_PER_CRASH);
  bool urgent = service->level >= level_min * URGENT_FACTOR;
  Customer *worst = NULL;
  double second = 0;
  double highest;
  uint32_t i;

  for (i = 0; i < containment->customers->len; i++)
    {
      Customer *customer = get (containment, i);

      if (customer->contained || strcmp (customer->service, service->name) != 0)
        continue;
      if (worst == NULL || customer->score > worst->score)
        {
          second = worst != NULL ? worst->score : 0;
          worst = customer;
        }
      else
        second = MAX (second, customer->score);
    }
  if (worst == NULL || worst->score < SCORE_MIN)
    return;
  if (was_released_too_early (worst, crash, now))
    level_min *= LEVEL_AGAIN_SHARE;
  else if (!urgent && worst->score < second + MARGIN)
    return;
  if (service->level < level_min)
    return;
  highest = worst->score;
  for (i = 0; i < containment->customers->len; i++)
    {
      Customer *customer = get (containment, i);

      if (!customer->contained && customer->score >= SCORE_MIN
          && strcmp (customer->service, service->name) == 0
          && (customer == worst
              || (urgent && highest - customer->score < MARGIN)))
        contain (containment, customer, now);
    }
  forget_others (containment, service);
}

/* A crash soon after the customer's release, with evidence against it. */
static bool
was_released_too_early (const Customer *customer,
                        const HsCrashEvidence *crash,
                        HsTime now)
{
  const HsCrashSuspect *suspect = find_suspect (customer, crash);

  return customer->released_at != 0 && now - customer->released_at < REPEAT_SPAN
         && suspect != NULL && evidence_of (suspect, crash) > 1;
}

static void
contain (HsContainment *containment, Customer *customer, HsTime now)
{
  if (customer->released_at != 0 && now - customer->released_at < REPEAT_SPAN)
    customer->n_doublings = MIN (customer->n_doublings + 1, DOUBLINGS_MAX);
  else
    customer->n_doublings = 0;
  customer->contained = true;
  containment->n_contained++;
  customer->crashed_at = now;
  customer->n_done = 0;
}

/* The crashes so far are explained. */
static void
forget_others (HsContainment *containment, Service *service)
{
  uint32_t i;

  service->level = 0;
  for (i = 0; i < containment->customers->len; i++)
    if (strcmp (get (containment, i)->service, service->name) == 0
        && !get (containment, i)->contained)
      get (containment, i)->score = 0;
}

static void
release (HsContainment *containment, Customer *customer, HsTime now)
{
  containment->n_contained--;
  customer->contained = false;
  customer->released_at = now;
}

static HsTime
hold_of (const Customer *customer)
{
  return HOLD_MIN << customer->n_doublings;
}

static bool
may_be_released (const Customer *customer, HsTime now)
{
  if (now >= customer->crashed_at + HOLD_MAX)
    return true;
  return now >= customer->crashed_at + hold_of (customer)
         && customer->n_done >= (uint32_t) JOBS_MIN << customer->n_doublings;
}
