# Benches in fake time. Results go to bench/results/.

BENCH_COMMIT = $(shell git rev-parse --short HEAD)$(shell \
	git diff --quiet HEAD -- src bench || echo -modified)

bench: $(BENCHES:%=bench-%)

$(B)/bench-dispatch: $(BENCH_DISPATCH:%.c=$(B)/%.o) $(B)/libhspoke.a
	$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

bench-dispatch: $(B)/bench-dispatch
	@mkdir -p bench/results
	$(B)/bench-dispatch $(BENCH_COMMIT) bench/results/dispatch.json \
		bench/results/dispatch.md

.PHONY: bench-dispatch
