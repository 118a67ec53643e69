# Injects faults into the whole system on loopback; see tools/faults and
# docs/FAULTS.md.
FAULTS_SMOKE := kill-owner pause-owner kill-agent stop-entry store-down

faults: deps
	@$(MAKE) --no-print-directory all
	@tools/faults -o $(BENCH_RESULTS)/faults.json

faults-smoke: deps
	@$(MAKE) --no-print-directory all
	@tools/faults $(FAULTS_SMOKE)

.PHONY: faults faults-smoke
