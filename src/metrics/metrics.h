/**
 * @file
 * Counters, gauges and histograms of a process, rendered in the text format of
 * Prometheus.
 *
 * Series are created and rendered by one thread. Any thread may add to its own
 * cell of a counter, and record into a histogram.
 */
#ifndef HS_METRICS_METRICS_H
#define HS_METRICS_METRICS_H

#include <stdint.h>

#include <talloc.h>

#include "metrics/histogram.h"

typedef struct HsMetrics HsMetrics;
typedef struct HsCounter HsCounter;

/** Returns the value of a gauge; called on the thread that renders. */
typedef double (*HsGaugeRead) (void *arg);

/** Maximum number of series per metric name; further label values share the
 * value "other". */
#define HS_METRICS_SERIES_MAX 2048

/**
 * Creates an empty set of metrics.
 * @param n_threads number of cells of each counter, one for each thread
 * @return talloc child of @p ctx
 */
HsMetrics *hs_metrics_new (TALLOC_CTX *ctx, uint32_t n_threads);

/**
 * Finds or creates a counter.
 * @param name such as "hs_jobs_total"
 * @param help description; that of the first call for @p name is used
 * @param label name of the only label, or NULL
 * @param value unescaped value of the label; it is escaped for rendering
 * @return owned by @p metrics
 */
HsCounter *hs_metrics_counter (HsMetrics *metrics,
                               const char *name,
                               const char *help,
                               const char *label,
                               const char *value);

/** Finds or creates a histogram of durations, rendered in seconds; see
 *  hs_metrics_counter(). */
HsHistogram *hs_metrics_histogram (HsMetrics *metrics,
                                   const char *name,
                                   const char *help,
                                   const char *label,
                                   const char *value);

/** Registers a gauge, which is read each time it is rendered; see
 *  hs_metrics_counter(). */
void hs_metrics_gauge (HsMetrics *metrics,
                       const char *name,
                       const char *help,
                       const char *label,
                       const char *value,
                       HsGaugeRead read,
                       void *arg);

/** Adds @p n to a counter; @p thread numbers the calling thread from 0. */
void hs_counter_add (HsCounter *counter, uint32_t thread, uint64_t n);

/** The sum of all cells. */
uint64_t hs_counter_value (const HsCounter *counter);

/** Renders all series; talloc child of @p ctx. */
char *hs_metrics_render (TALLOC_CTX *ctx, const HsMetrics *metrics);

#endif
