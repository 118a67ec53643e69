#include "metrics/metrics.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <string.h>

#include <glib.h>

/** Alignment of cells, so that threads don't share a cache line. */
#define CACHE_LINE 64
/** Rendered buckets range from 2^8 us (256 us) to 2^27 us (134 s). */
#define FIRST_RENDERED_OCTAVE 8
#define OVERFLOW_VALUE "other"

typedef enum
{
  SERIES_COUNTER,
  SERIES_HISTOGRAM,
  SERIES_GAUGE
} SeriesKind;

typedef struct
{
  _Alignas(CACHE_LINE) _Atomic uint64_t value;
} Cell;

struct HsCounter
{
  uint32_t n_cells;
  Cell *cells;
};

typedef struct
{
  HsGaugeRead read;
  void *arg;
} Gauge;

/** One set of labels of a metric. */
typedef struct
{
  SeriesKind kind;
  char *labels; /**< As rendered: "" or customer="c1". */
  union
  {
    HsCounter *counter;
    HsHistogram *histogram;
    Gauge gauge;
  } u;
} Series;

/** All series of one metric name. */
typedef struct
{
  SeriesKind kind;
  char *name;
  char *help;
  GHashTable *by_labels;
  GPtrArray *series; /**< In the order of creation. */
} Family;

struct HsMetrics
{
  uint32_t n_threads;
  GHashTable *by_name;
  GPtrArray *families;
};

static int free_metrics (HsMetrics *metrics);
static Series *find_series (HsMetrics *metrics,
                            SeriesKind kind,
                            const char *name,
                            const char *help,
                            const char *label,
                            const char *value);
static void render_family (GString *text, const Family *family);

HsMetrics *
hs_metrics_new (TALLOC_CTX *ctx, uint32_t n_threads)
{
  HsMetrics *metrics = talloc_zero (ctx, HsMetrics);

  metrics->n_threads = n_threads;
  metrics->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  metrics->families = g_ptr_array_new ();
  talloc_set_destructor (metrics, free_metrics);
  return metrics;
}

HsCounter *
hs_metrics_counter (HsMetrics *metrics,
                    const char *name,
                    const char *help,
                    const char *label,
                    const char *value)
{
  Series *series
      = find_series (metrics, SERIES_COUNTER, name, help, label, value);
  HsCounter *counter = series->u.counter;

  if (counter != NULL)
    return counter;
  counter = talloc_zero (series, HsCounter);
  counter->n_cells = metrics->n_threads;
  counter->cells
      = g_aligned_alloc0 (metrics->n_threads, sizeof (Cell), CACHE_LINE);
  series->u.counter = counter;
  return counter;
}

HsHistogram *
hs_metrics_histogram (HsMetrics *metrics,
                      const char *name,
                      const char *help,
                      const char *label,
                      const char *value)
{
  Series *series
      = find_series (metrics, SERIES_HISTOGRAM, name, help, label, value);

  if (series->u.histogram == NULL)
    series->u.histogram = talloc_zero (series, HsHistogram);
  return series->u.histogram;
}

void
hs_metrics_gauge (HsMetrics *metrics,
                  const char *name,
                  const char *help,
                  const char *label,
                  const char *value,
                  HsGaugeRead read,
                  void *arg)
{
  Series *series
      = find_series (metrics, SERIES_GAUGE, name, help, label, value);

  series->u.gauge.read = read;
  series->u.gauge.arg = arg;
}

void
hs_counter_add (HsCounter *counter, uint32_t thread, uint64_t n)
{
  g_assert (thread < counter->n_cells);
  atomic_fetch_add_explicit (&counter->cells[thread].value, n,
                             memory_order_relaxed);
}

uint64_t
hs_counter_value (const HsCounter *counter)
{
  uint64_t sum = 0;
  uint32_t i;

  for (i = 0; i < counter->n_cells; i++)
    sum += atomic_load_explicit (&counter->cells[i].value,
                                 memory_order_relaxed);
  return sum;
}

char *
hs_metrics_render (TALLOC_CTX *ctx, const HsMetrics *metrics)
{
  GString *text = g_string_new (NULL);
  char *copy;
  guint i;

  for (i = 0; i < metrics->families->len; i++)
    render_family (text, g_ptr_array_index (metrics->families, i));
  copy = talloc_strndup (ctx, text->str, text->len);
  g_string_free (text, TRUE);
  return copy;
}

static void
free_family (Family *family)
{
  const Series *series;
  guint i;

  for (i = 0; i < family->series->len; i++)
    {
      series = g_ptr_array_index (family->series, i);
      if (series->kind == SERIES_COUNTER && series->u.counter != NULL)
        g_aligned_free (series->u.counter->cells);
    }
  g_hash_table_destroy (family->by_labels);
  g_ptr_array_free (family->series, TRUE);
}

static int
free_metrics (HsMetrics *metrics)
{
  guint i;

  for (i = 0; i < metrics->families->len; i++)
    free_family (g_ptr_array_index (metrics->families, i));
  g_hash_table_destroy (metrics->by_name);
  g_ptr_array_free (metrics->families, TRUE);
  return 0;
}

static Family *
find_family (HsMetrics *metrics,
             SeriesKind kind,
             const char *name,
             const char *help)
{
  Family *family = g_hash_table_lookup (metrics->by_name, name);

  if (family != NULL)
    {
      g_assert (family->kind == kind);
      return family;
    }
  family = talloc_zero (metrics, Family);
  family->kind = kind;
  family->name = talloc_strdup (family, name);
  family->help = talloc_strdup (family, help);
  family->by_labels = g_hash_table_new (g_str_hash, g_str_equal);
  family->series = g_ptr_array_new ();
  g_hash_table_insert (metrics->by_name, family->name, family);
  g_ptr_array_add (metrics->families, family);
  return family;
}

/** Formats label="value" with the escapes of Prometheus' text format. */
static char *
format_label (const char *label, const char *value)
{
  GString *text = g_string_new (NULL);

  if (label == NULL)
    return g_string_free (text, FALSE);
  g_string_append_printf (text, "%s=\"", label);
  for (; *value != '\0'; value++)
    {
      if (*value == '\n')
        {
          g_string_append (text, "\\n");
          continue;
        }
      if (*value == '"' || *value == '\\')
        g_string_append_c (text, '\\');
      g_string_append_c (text, *value);
    }
  g_string_append_c (text, '"');
  return g_string_free (text, FALSE);
}

static Series *
find_series (HsMetrics *metrics,
             SeriesKind kind,
             const char *name,
             const char *help,
             const char *label,
             const char *value)
{
  Family *family = find_family (metrics, kind, name, help);
  g_autofree char *labels = format_label (label, value);
  Series *series = g_hash_table_lookup (family->by_labels, labels);

  if (series != NULL)
    return series;
  if (family->series->len >= HS_METRICS_SERIES_MAX && label != NULL
      && strcmp (value, OVERFLOW_VALUE) != 0)
    return find_series (metrics, kind, name, help, label, OVERFLOW_VALUE);
  series = talloc_zero (family, Series);
  series->kind = kind;
  series->labels = talloc_strdup (series, labels);
  g_hash_table_insert (family->by_labels, series->labels, series);
  g_ptr_array_add (family->series, series);
  return series;
}

static void
render_number (GString *text, double number)
{
  char buffer[G_ASCII_DTOSTR_BUF_SIZE];

  g_string_append (text,
                   g_ascii_formatd (buffer, sizeof buffer, "%.10g", number));
}

static void
render_sample_name (GString *text,
                    const Family *family,
                    const Series *series,
                    const char *suffix)
{
  g_string_append_printf (text, "%s%s", family->name, suffix);
  if (series->labels[0] != '\0')
    g_string_append_printf (text, "{%s}", series->labels);
  g_string_append_c (text, ' ');
}

static void
render_histogram (GString *text, const Family *family, const Series *series)
{
  const HsHistogram *histogram = series->u.histogram;
  const char *comma = series->labels[0] != '\0' ? "," : "";
  uint64_t count = hs_histogram_count (histogram);
  unsigned int octave;

  /* The last octave includes all longer durations, so that it is rendered only
     in +Inf. */
  for (octave = FIRST_RENDERED_OCTAVE; octave < HS_HISTOGRAM_OCTAVES; octave++)
    {
      g_string_append_printf (text, "%s_bucket{%s%sle=\"", family->name,
                              series->labels, comma);
      render_number (text, (double) (1U << octave) / HS_SEC);
      g_string_append_printf (text, "\"} %" PRIu64 "\n",
                              hs_histogram_count_below (histogram, octave));
    }
  g_string_append_printf (text, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
                          family->name, series->labels, comma, count);
  render_sample_name (text, family, series, "_sum");
  render_number (text, (double) atomic_load_explicit (&histogram->sum_us,
                                                      memory_order_relaxed)
                           / HS_SEC);
  g_string_append_c (text, '\n');
  render_sample_name (text, family, series, "_count");
  g_string_append_printf (text, "%" PRIu64 "\n", count);
}

static void
render_series (GString *text, const Family *family, const Series *series)
{
  switch (series->kind)
    {
    case SERIES_COUNTER:
      render_sample_name (text, family, series, "");
      g_string_append_printf (text, "%" PRIu64 "\n",
                              hs_counter_value (series->u.counter));
      break;
    case SERIES_GAUGE:
      render_sample_name (text, family, series, "");
      render_number (text, series->u.gauge.read (series->u.gauge.arg));
      g_string_append_c (text, '\n');
      break;
    case SERIES_HISTOGRAM:
      render_histogram (text, family, series);
      break;
    default:
      g_assert_not_reached ();
    }
}

static void
render_family (GString *text, const Family *family)
{
  static const char *const TYPES[] = { [SERIES_COUNTER] = "counter",
                                       [SERIES_HISTOGRAM] = "histogram",
                                       [SERIES_GAUGE] = "gauge" };
  guint i;

  g_string_append_printf (text, "# HELP %s %s\n# TYPE %s %s\n", family->name,
                          family->help, family->name, TYPES[family->kind]);
  for (i = 0; i < family->series->len; i++)
    render_series (text, family, g_ptr_array_index (family->series, i));
}
