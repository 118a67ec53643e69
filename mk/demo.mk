# Runs the whole system on loopback; see tools/demo.
demo: deps
	@$(MAKE) --no-print-directory all >&2
	@tools/demo

.PHONY: demo
