SRCS += src/metrics/metrics.c src/metrics/histogram.c
