# Model checking of the protocol: specifications and their mutants.
.PHONY: model
model:
	@model/run $(CURDIR)/build/model
