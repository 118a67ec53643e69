BENCHES += dispatch
BENCH_DISPATCH := bench/dispatch.c bench/dispatch_sim.c bench/dispatch_sim_entry.c \
	bench/dispatch_sim_target.c bench/event_queue.c bench/workload.c
BENCHES += system
BENCH_SYSTEM := bench/system.c bench/client.c bench/agent_pool.c bench/tcp_stats.c
BENCHES += state
BENCH_STATE := bench/state.c
BENCHES += response
BENCHES += yardstick
BENCH_YARDSTICK := bench/yardstick.c bench/queue_model.c test/load_world.c \
	test/load_jobs.c test/load_effects.c test/load_messages.c test/load_crashes.c \
	test/target_model.c
