BENCHES += dispatch
BENCH_DISPATCH := bench/dispatch.c bench/fleet.c bench/fleet_entry.c \
	bench/fleet_target.c bench/events.c bench/workload.c
BENCHES += system
BENCH_SYSTEM := bench/system.c bench/client.c bench/fakes.c bench/sockets.c
BENCHES += state
BENCH_STATE := bench/state.c
BENCHES += response
BENCHES += yardstick
BENCH_YARDSTICK := bench/yardstick.c bench/queue_model.c test/load_world.c \
	test/load_jobs.c test/load_effects.c test/load_messages.c \
	test/target_model.c
