SRCS += src/policy/bucket.c src/policy/heap.c src/policy/run_time.c \
	src/policy/fair_queue.c src/policy/fair_queue_tables.c src/policy/agent_credits.c src/policy/credits.c src/policy/loans.c \
	src/policy/health.c src/policy/containment.c src/policy/crash_counts.c \
	src/policy/start_rates.c src/policy/rendezvous.c src/policy/retry.c src/policy/feasible.c \
	src/policy/dispatch.c
