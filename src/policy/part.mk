SRCS += src/policy/bucket.c src/policy/heap.c src/policy/fair_queue.c \
	src/policy/credits.c src/policy/run_time.c
