#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "metrics/metrics.h"

#define THREADS 4
#define ADDS_PER_THREAD 10000

typedef struct
{
  HsCounter *counter;
  HsHistogram *histogram;
  uint32_t thread;
} Adder;

static void *
add_many (void *arg)
{
  Adder *adder = arg;
  int i;

  for (i = 0; i < ADDS_PER_THREAD; i++)
    {
      hs_counter_add (adder->counter, adder->thread, 1);
      hs_histogram_record (adder->histogram, i);
    }
  return NULL;
}

static void
concurrent_updates_are_all_counted (void **state)
{
  HsMetrics *metrics = hs_metrics_new (NULL, THREADS);
  HsCounter *counter = hs_metrics_counter (metrics, "n", "N.", NULL, NULL);
  HsHistogram *histogram
      = hs_metrics_histogram (metrics, "h", "H.", NULL, NULL);
  Adder adders[THREADS];
  pthread_t threads[THREADS];
  uint32_t i;

  (void) state;
  for (i = 0; i < THREADS; i++)
    {
      adders[i] = (Adder){ counter, histogram, i };
      pthread_create (&threads[i], NULL, add_many, &adders[i]);
    }
  for (i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  assert_int_equal (hs_counter_value (counter), THREADS * ADDS_PER_THREAD);
  assert_int_equal (hs_histogram_count (histogram), THREADS * ADDS_PER_THREAD);
  talloc_free (metrics);
}

static void
quantile_error_is_at_most_an_eighth (void **state)
{
  static HsHistogram histogram;
  HsTime quantile;
  HsTime us;
  int percent;

  (void) state;
  assert_int_equal (hs_histogram_quantile (&histogram, 0.5), 0);
  for (us = 1; us <= 1000000; us += 7)
    hs_histogram_record (&histogram, us);
  for (percent = 10; percent < 100; percent += 10)
    {
      quantile = hs_histogram_quantile (&histogram, percent / 100.0);
      assert_in_range (quantile, percent * 10000 - 7,
                       percent * 10000 * 9 / 8 + 1);
    }
}

static void
out_of_range_durations_are_counted (void **state)
{
  static HsHistogram histogram;

  (void) state;
  hs_histogram_record (&histogram, -5);
  hs_histogram_record (&histogram, 0);
  hs_histogram_record (&histogram, HS_NEVER);
  assert_int_equal (hs_histogram_count (&histogram), 3);
  assert_int_equal (hs_histogram_count_below (&histogram, 1), 2);
}

static double
read_constant (void *arg)
{
  (void) arg;
  return 7.5;
}

static void
series_are_rendered_as_prometheus_text (void **state)
{
  HsMetrics *metrics = hs_metrics_new (NULL, 1);
  HsHistogram *histogram;
  char *text;

  (void) state;
  hs_counter_add (
      hs_metrics_counter (metrics, "hs_jobs_total", "Jobs.", "kind", "a\"b"), 0,
      3);
  hs_counter_add (
      hs_metrics_counter (metrics, "hs_jobs_total", "Jobs.", "kind", "c"), 0,
      1);
  hs_counter_add (
      hs_metrics_counter (metrics, "hs_jobs_total", "Jobs.", "kind", "c"), 0,
      1);
  hs_metrics_gauge (metrics, "hs_age", "Age.", NULL, NULL, read_constant, NULL);
  histogram = hs_metrics_histogram (metrics, "hs_job_seconds", "Spans.",
                                    "customer", "c1");
  hs_histogram_record (histogram, 300);
  hs_histogram_record (histogram, 2 * HS_SEC);
  text = hs_metrics_render (metrics, metrics);
  assert_non_null (strstr (text, "# HELP hs_jobs_total Jobs.\n"
                                 "# TYPE hs_jobs_total counter\n"
                                 "hs_jobs_total{kind=\"a\\\"b\"} 3\n"
                                 "hs_jobs_total{kind=\"c\"} 2\n"
                                 "# HELP hs_age Age.\n"
                                 "# TYPE hs_age gauge\nhs_age 7.5\n"));
  assert_non_null (strstr (
      text, "hs_job_seconds_bucket{customer=\"c1\",le=\"0.000256\"} 0\n"));
  assert_non_null (
      strstr (text, "hs_job_seconds_bucket{customer=\"c1\",le=\"+Inf\"} 2\n"
                    "hs_job_seconds_sum{customer=\"c1\"} 2.0003\n"
                    "hs_job_seconds_count{customer=\"c1\"} 2\n"));
  talloc_free (metrics);
}

static void
series_over_the_limit_share_other (void **state)
{
  HsMetrics *metrics = hs_metrics_new (NULL, 1);
  HsCounter *last = NULL;
  HsCounter *other;
  int i;

  (void) state;
  for (i = 0; i < HS_METRICS_SERIES_MAX + 2; i++)
    {
      g_autofree char *name = g_strdup_printf ("c%d", i);

      last = hs_metrics_counter (metrics, "n", "N.", "customer", name);
    }
  other = hs_metrics_counter (metrics, "n", "N.", "customer", "other");
  assert_ptr_equal (last, other);
  talloc_free (metrics);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (concurrent_updates_are_all_counted),
    cmocka_unit_test (quantile_error_is_at_most_an_eighth),
    cmocka_unit_test (out_of_range_durations_are_counted),
    cmocka_unit_test (series_are_rendered_as_prometheus_text),
    cmocka_unit_test (series_over_the_limit_share_other),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
