# Benchmarks in simulated time. Results go to bench/results/, the table of
# bench-dispatch also to the end of docs/design/dispatch.md.

BENCH_COMMIT = $(shell git rev-parse --short HEAD)$(shell \
	git diff --quiet HEAD -- src bench || echo -modified)
BENCH_RESULTS := bench/results

bench: $(BENCHES:%=bench-%)

$(B)/bench-dispatch: $(BENCH_DISPATCH:%.c=$(B)/%.o) $(B)/libhspoke.a
	$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

bench-dispatch: $(B)/bench-dispatch
	@mkdir -p $(BENCH_RESULTS)
	$(B)/bench-dispatch $(BENCH_COMMIT) $(BENCH_RESULTS)/dispatch.json \
		$(BENCH_RESULTS)/dispatch.md
	@sed -i '/^## Figures/,$$d' docs/design/dispatch.md
	@{ printf '## Figures\n\n'; cat $(BENCH_RESULTS)/dispatch.md; } \
		>>docs/design/dispatch.md
	@if command -v gnuplot >/dev/null; then gnuplot bench/plot_dispatch.gp; \
	else echo "bench-dispatch: no gnuplot, plot not drawn"; fi

.PHONY: bench-dispatch

# The fakes replace parts of the library, so they are linked before it.
$(B)/bench-system: $(BENCH_SYSTEM:%.c=$(B)/%.o) $(B)/libhspoke.a
	$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

bench-system: $(B)/bench-system $(BIN) $(STANDINS)
	@mkdir -p $(BENCH_RESULTS)
	@bench/run-system $(B) $(BENCH_COMMIT) $(BENCH_RESULTS)/system.json

.PHONY: bench-system

$(B)/bench-state: $(BENCH_STATE:%.c=$(B)/%.o) $(B)/libhspoke.a
	$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

bench-state: $(B)/bench-state
	@mkdir -p $(BENCH_RESULTS)
	$(B)/bench-state $(BENCH_COMMIT) | tee $(BENCH_RESULTS)/state.json

.PHONY: bench-state

# Compares queueing, refusal and placement with one global queue.
$(B)/bench-yardstick: $(BENCH_YARDSTICK:%.c=$(B)/%.o) $(B)/libhspoke.a
	$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

bench-yardstick: $(B)/bench-yardstick
	@mkdir -p $(BENCH_RESULTS)
	$(B)/bench-yardstick $(BENCH_COMMIT) $(BENCH_RESULTS)/yardstick.md
	@if command -v gnuplot >/dev/null; then gnuplot bench/plot_yardstick.gp; \
	else echo "bench-yardstick: no gnuplot, plot not drawn"; fi

.PHONY: bench-yardstick

# Response time over the ideal, and wasted messages, under each single fault.
bench-response: $(BIN) $(STANDINS)
	@mkdir -p $(BENCH_RESULTS)
	@bench/run-response $(B) $(BENCH_COMMIT) $(BENCH_RESULTS)/response.json

.PHONY: bench-response
