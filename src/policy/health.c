#include "policy/health.h"

#include <math.h>
#include <stdlib.h>

#include "policy/heap.h"

/* Failure scores, as natural logarithms of likelihood ratios. Where failures
 * are rare, one failure adds about 3.2: three in a row put a target on
 * probation, and four eject it. Below SUSPECT_SCORE, failures are attributed to
 * the customer. */
#define SUSPECT_SCORE 4.0
#define PROBATION_SCORE 7.0
#define EJECTION_SCORE 12.0

/* The score of a target that returns from ejection. One more failure ejects it
 * again, unless failures are common elsewhere. */
#define REINSTATED_SCORE (EJECTION_SCORE - 1.0)

/* Consecutive successes that end probation. */
#define PROBATION_SUCCESSES 3

#define EJECTION_MIN (1 * HS_SEC)
#define EJECTION_MAX (64 * HS_SEC)

/* Length of the pause of a failing target that may not be ejected for longer
 * because EJECTED_MAX_PERCENT of the targets are. */
#define OVER_CAP_EJECTION (100 * HS_MSEC)

/* If a target is ejected again more than this long after its last ejection
 * ended, its ejection lasts EJECTION_MIN again. */
#define EJECTION_RESET_AFTER (120 * HS_SEC)

/* At most this percentage of the targets is ejected at a time. */
#define EJECTED_MAX_PERCENT 30

/* Bounds of the expected failure rate. */
#define FAILURE_RATE_MIN 0.01
#define FAILURE_RATE_MAX 0.98

/* A new sample has a weight of one over this number in the moving average. */
#define CUSTOMER_RATE_SAMPLES 16.0
#define OVERALL_RATE_SAMPLES 256.0
#define SLOWDOWN_SAMPLES 16.0

/* A target becomes slow above SLOW_BEGIN_RATIO times the median slowdown and
 * stays so until it is below SLOW_END_RATIO times it. Only targets with enough
 * samples count, because single run times differ by as much by chance. */
#define SLOW_BEGIN_RATIO 3.0
#define SLOW_END_RATIO 2.0
#define MEDIAN_SAMPLES_MIN 10
#define MEDIAN_TARGETS_MIN 3
#define MEDIAN_PERIOD (1 * HS_SEC)

typedef struct
{
  bool known;
  bool ejected;
  bool over_cap; /* Ejected for a short pause, outside the cap. */
  bool probation;
  bool slow;
  bool change_queued; /* Listed in HsHealth.changed. */
  HsHealthState reported;
  uint32_t n_successes; /* Consecutive successes on probation. */
  uint32_t n_slowdowns;
  double log_slowdown; /* Moving average of log (run / expected). */
  double failure_score;
  HsTime ejection_length; /* Length of the last ejection; 0: none yet. */
  HsTime reinstated_at;
} Target;

struct HsHealth
{
  uint32_t n_targets;
  uint32_t n_ejected; /* Those that count against the cap. */
  uint32_t n_rated;   /* Targets with enough slowdown samples. */
  uint32_t targets_size;
  uint32_t customers_size;
  uint32_t n_changed;
  double failure_rate; /* Of the tasks of all customers. */
  double median_log_slowdown;
  HsTime next_median_at;
  Target *targets;
  double *customer_failure_rates;
  double *sort_buffer;
  uint32_t *changed;
  uint32_t *positions;
  HsHeap reinstatements; /* Ejected targets, keyed by the end of ejection. */
};

static void reserve_target (HsHealth *health, uint32_t target);
static void reserve_customer (HsHealth *health, uint32_t customer);
static double expected_failure_rate (const HsHealth *health, uint32_t customer);
static void update_failure_rates (HsHealth *health,
                                  uint32_t customer,
                                  const Target *t,
                                  bool failed);
static void update_failure_score (HsHealth *health,
                                  uint32_t target,
                                  bool failed,
                                  double rate);
static void update_slowdown (HsHealth *health,
                             Target *t,
                             HsTime run,
                             HsTime expected,
                             HsTime now);
static void compare_with_median (const HsHealth *health, Target *t);
static void update_median (HsHealth *health, HsTime now);
static int compare_doubles (const void *a, const void *b);
static void eject (HsHealth *health, uint32_t target, HsTime now);
static void reinstate (HsHealth *health, uint32_t target, HsTime now);
static HsHealthState current_state (const Target *t);
static void queue_change (HsHealth *health, uint32_t target);

HsHealth *
hs_health_new (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, HsHealth);
}

void
hs_health_add (HsHealth *health, uint32_t target)
{
  reserve_target (health, target);
  if (health->targets[target].known)
    return;
  health->targets[target].known = true;
  health->n_targets++;
}

void
hs_health_remove (HsHealth *health, uint32_t target)
{
  Target *t;
  bool queued;

  if (target >= health->targets_size || !health->targets[target].known)
    return;
  t = &health->targets[target];
  if (t->ejected)
    {
      hs_heap_remove (&health->reinstatements, health->positions, target);
      if (!t->over_cap)
        health->n_ejected--;
    }
  health->n_targets--;
  health->n_rated -= t->n_slowdowns >= MEDIAN_SAMPLES_MIN;
  queued = t->change_queued;
  *t = (Target){ .known = false, .change_queued = queued };
}

void
hs_health_record_result (HsHealth *health,
                         uint32_t target,
                         uint32_t customer,
                         bool failed,
                         HsTime run,
                         HsTime expected,
                         HsTime now)
{
  Target *t;
  double rate;

  if (target >= health->targets_size || !health->targets[target].known)
    return;
  t = &health->targets[target];
  reserve_customer (health, customer);
  rate = expected_failure_rate (health, customer);
  update_failure_rates (health, customer, t, failed);
  update_failure_score (health, target, failed, rate);
  if (!failed && expected > 0)
    update_slowdown (health, t, run, expected, now);
  if (!t->ejected && t->failure_score >= EJECTION_SCORE)
    eject (health, target, now);
  queue_change (health, target);
}

bool
hs_health_next_change (HsHealth *health,
                       HsTime now,
                       uint32_t *target,
                       HsHealthState *state)
{
  while (health->reinstatements.n > 0
         && health->reinstatements.items[0].key <= now)
    reinstate (health, health->reinstatements.items[0].handle, now);
  while (health->n_changed > 0)
    {
      uint32_t next = health->changed[--health->n_changed];
      Target *t = &health->targets[next];

      t->change_queued = false;
      if (!t->known || t->reported == current_state (t))
        continue;
      t->reported = current_state (t);
      *target = next;
      *state = t->reported;
      return true;
    }
  return false;
}

HsTime
hs_health_wake_at (const HsHealth *health)
{
  return health->reinstatements.n > 0 ? health->reinstatements.items[0].key
                                      : HS_NEVER;
}

double
hs_health_median_slowdown (const HsHealth *health)
{
  return exp (health->median_log_slowdown);
}

HsHealthState
hs_health_state (const HsHealth *health, uint32_t target)
{
  return target < health->targets_size ? health->targets[target].reported
                                       : HS_HEALTH_OK;
}

static void
reserve_target (HsHealth *health, uint32_t target)
{
  uint32_t size = health->targets_size > 0 ? health->targets_size : 64;

  if (target < health->targets_size)
    return;
  while (size <= target)
    size *= 2;
  health->targets = talloc_realloc (health, health->targets, Target, size);
  health->sort_buffer
      = talloc_realloc (health, health->sort_buffer, double, size);
  health->changed = talloc_realloc (health, health->changed, uint32_t, size);
  health->positions
      = talloc_realloc (health, health->positions, uint32_t, size);
  for (; health->targets_size < size; health->targets_size++)
    health->targets[health->targets_size] = (Target){ .known = false };
}

static void
reserve_customer (HsHealth *health, uint32_t customer)
{
  uint32_t size = health->customers_size > 0 ? health->customers_size : 64;

  if (customer < health->customers_size)
    return;
  while (size <= customer)
    size *= 2;
  health->customer_failure_rates
      = talloc_realloc (health, health->customer_failure_rates, double, size);
  for (; health->customers_size < size; health->customers_size++)
    health->customer_failure_rates[health->customers_size] = 0;
}

/* Returns the rate at which tasks of this customer fail on a healthy target. */
static double
expected_failure_rate (const HsHealth *health, uint32_t customer)
{
  double rate
      = fmax (health->customer_failure_rates[customer], health->failure_rate);

  return fmin (fmax (rate, FAILURE_RATE_MIN), FAILURE_RATE_MAX);
}

/* Updates the failure rates of the customer and of all. Results from suspect
 * targets are left out: a target that fails tasks quickly would otherwise make
 * failures look common soon. */
static void
update_failure_rates (HsHealth *health,
                      uint32_t customer,
                      const Target *t,
                      bool failed)
{
  double sample = failed ? 1.0 : 0.0;

  if (t->failure_score >= SUSPECT_SCORE)
    return;
  health->customer_failure_rates[customer]
      += (sample - health->customer_failure_rates[customer])
         / CUSTOMER_RATE_SAMPLES;
  health->failure_rate
      += (sample - health->failure_rate) / OVERALL_RATE_SAMPLES;
}

static void
update_failure_score (HsHealth *health,
                      uint32_t target,
                      bool failed,
                      double rate)
{
  Target *t = &health->targets[target];
  double faulty_rate = (1.0 + rate) / 2.0;

  t->failure_score += failed ? log (faulty_rate / rate)
                             : log ((1.0 - faulty_rate) / (1.0 - rate));
  t->failure_score = fmin (fmax (t->failure_score, 0), EJECTION_SCORE);
  if (t->failure_score >= PROBATION_SCORE && !t->probation)
    {
      t->probation = true;
      t->n_successes = 0;
    }
  if (!t->probation)
    return;
  t->n_successes = failed ? 0 : t->n_successes + 1;
  if (t->n_successes < PROBATION_SUCCESSES)
    return;
  t->probation = false;
  t->failure_score = 0;
}

static void
update_slowdown (HsHealth *health,
                 Target *t,
                 HsTime run,
                 HsTime expected,
                 HsTime now)
{
  double sample = log ((double) (run + 1) / (double) (expected + 1));

  t->n_slowdowns++;
  t->log_slowdown += (sample - t->log_slowdown)
                     / fmin ((double) t->n_slowdowns, SLOWDOWN_SAMPLES);
  if (t->n_slowdowns == MEDIAN_SAMPLES_MIN)
    health->n_rated++;
  if (health->n_rated < MEDIAN_TARGETS_MIN)
    return;
  if (now >= health->next_median_at)
    update_median (health, now);
  else
    compare_with_median (health, t);
}

static void
compare_with_median (const HsHealth *health, Target *t)
{
  double excess = t->log_slowdown - health->median_log_slowdown;

  if (t->n_slowdowns < MEDIAN_SAMPLES_MIN)
    return;
  if (excess > log (SLOW_BEGIN_RATIO))
    t->slow = true;
  else if (excess < log (SLOW_END_RATIO))
    t->slow = false;
}

/* Updates the median and compares all targets with it again, since those
 * without new results were compared with an earlier median. */
static void
update_median (HsHealth *health, HsTime now)
{
  uint32_t n = 0;
  uint32_t i;

  health->next_median_at = now + MEDIAN_PERIOD;
  for (i = 0; i < health->targets_size; i++)
    if (health->targets[i].known
        && health->targets[i].n_slowdowns >= MEDIAN_SAMPLES_MIN)
      health->sort_buffer[n++] = health->targets[i].log_slowdown;
  qsort (health->sort_buffer, n, sizeof health->sort_buffer[0],
         compare_doubles);
  health->median_log_slowdown = health->sort_buffer[n / 2];
  for (i = 0; i < health->targets_size; i++)
    if (health->targets[i].known)
      {
        compare_with_median (health, &health->targets[i]);
        queue_change (health, i);
      }
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;

  return (x > y) - (x < y);
}

static void
eject (HsHealth *health, uint32_t target, HsTime now)
{
  Target *t = &health->targets[target];
  HsTime span = OVER_CAP_EJECTION;

  t->over_cap
      = (health->n_ejected + 1) * 100 > health->n_targets * EJECTED_MAX_PERCENT;
  if (!t->over_cap)
    {
      health->n_ejected++;
      if (t->ejection_length == 0
          || now - t->reinstated_at > EJECTION_RESET_AFTER)
        t->ejection_length = EJECTION_MIN;
      else
        t->ejection_length = t->ejection_length * 2 < EJECTION_MAX
                                 ? t->ejection_length * 2
                                 : EJECTION_MAX;
      span = t->ejection_length;
    }
  t->ejected = true;
  hs_heap_push (health, &health->reinstatements, health->positions, target,
                now + span);
}

static void
reinstate (HsHealth *health, uint32_t target, HsTime now)
{
  Target *t = &health->targets[target];

  hs_heap_remove (&health->reinstatements, health->positions, target);
  if (!t->over_cap)
    health->n_ejected--;
  t->ejected = false;
  t->probation = true;
  t->n_successes = 0;
  t->failure_score = REINSTATED_SCORE;
  t->reinstated_at = now;
  queue_change (health, target);
}

static HsHealthState
current_state (const Target *t)
{
  if (t->ejected)
    return HS_HEALTH_EJECTED;
  return t->probation || t->slow ? HS_HEALTH_PROBATION : HS_HEALTH_OK;
}

static void
queue_change (HsHealth *health, uint32_t target)
{
  Target *t = &health->targets[target];

  if (t->change_queued || t->reported == current_state (t))
    return;
  t->change_queued = true;
  health->changed[health->n_changed++] = target;
}
