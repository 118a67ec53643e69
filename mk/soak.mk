# Runs the real programs on loopback under faults injected from outside; see
# docs/SOAK.md. The seeds in SOAK_SEEDS are run one after another, for
# SOAK_SECONDS each.
SOAK_SEEDS ?= $(shell seq 1 50)
SOAK_SMOKE := 1 2 3
SOAK_SECONDS ?= 20

soak: deps
	@$(MAKE) --no-print-directory all
	@tools/soak $(B) $(SOAK_SECONDS) $(SOAK_SEEDS)

soak-smoke: deps
	@$(MAKE) --no-print-directory all
	@tools/soak $(B) 8 $(SOAK_SMOKE)

.PHONY: soak soak-smoke
