BENCHES += dispatch
BENCH_DISPATCH := bench/dispatch.c bench/fleet.c bench/events.c \
	bench/workload.c
