# Checks the models of the protocol and their mutants with spin; see model/run.
.PHONY: model
model:
	@model/run $(CURDIR)/build/model
