/**
 * @file
 * Counters, gauges and histograms of a process, written as Prometheus text.
 *
 * One thread creates series and renders them. Any thread may add to a
 * counter through its own cell and record into a histogram.
 */
#ifndef HS_METRICS_METRICS_H
#define HS_METRICS_METRICS_H

#include <stdint.h>

#include <talloc.h>

#include "metrics/histogram.h"

typedef struct HsMetrics HsMetrics;
typedef struct HsCounter HsCounter;

/** Reads a gauge; runs in the thread that renders. */
typedef double (*HsGaugeRead) (void *arg);

/** At most this many series of a name; further ones share "other". */
#define HS_METRICS_SERIES_MAX 2048

/** @param n_threads cells of each counter, numbered from 0 */
HsMetrics *hs_metrics_new (TALLOC_CTX *ctx, uint32_t n_threads);

/**
 * Finds or creates a counter.
 * @param name as "hs_jobs_total"; with its first use comes its @p help
 * @param label one label's name, or NULL
 * @param value the label's value; escaped as needed
 */
HsCounter *hs_metrics_counter (HsMetrics *metrics,
                               const char *name,
                               const char *help,
                               const char *label,
                               const char *value);

/** Finds or creates a histogram of spans; rendered in seconds. */
HsHistogram *hs_metrics_histogram (HsMetrics *metrics,
                                   const char *name,
                                   const char *help,
                                   const char *label,
                                   const char *value);

/** Registers a gauge that is read when it is rendered. */
void hs_metrics_gauge (HsMetrics *metrics,
                       const char *name,
                       const char *help,
                       const char *label,
                       const char *value,
                       HsGaugeRead read,
                       void *arg);

/** Adds to a counter; @p thread is the caller's own cell. */
void hs_counter_add (HsCounter *counter, uint32_t thread, uint64_t n);

uint64_t hs_counter_value (const HsCounter *counter);

/** All series as Prometheus text; talloc child of @p ctx. */
char *hs_metrics_render (TALLOC_CTX *ctx, const HsMetrics *metrics);

#endif
