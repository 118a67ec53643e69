# Fuzzing of all that comes from outside, with address and undefined-behaviour
# sanitizers, in build/fuzz. Fixed seeds: the same verdict on every run.
FUZZ_SEEDS ?= 4
FUZZ_RUNS ?= 20000
FUZZ_ARGS ?=
FUZZ_OBJS := $(addprefix $(B)/test/fuzz/,driver.o mutate.o fuzz.o \
	json_surfaces.o settings_surface.o store_surfaces.o wire_surfaces.o platform_surface.o)
FUZZ_MAKE = $(MAKE) --no-print-directory B=build/fuzz SAN=asan build/fuzz/hs-fuzz
FUZZ_RUN = build/fuzz/hs-fuzz --corpus test/fuzz/corpus \
	--save build/fuzz/failed --runs $(FUZZ_RUNS) $(FUZZ_ARGS)

$(B)/hs-fuzz: $(FUZZ_OBJS) $(B)/libhspoke.a
	@echo "  LD $@"
	@$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

fuzz: deps
	@$(FUZZ_MAKE)
	@$(FUZZ_RUN) --seeds $(FUZZ_SEEDS)

# Goes on with new seeds until stopped; FUZZ_ARGS="--seed N" sets the first.
fuzz-endless: deps
	@$(FUZZ_MAKE)
	@$(FUZZ_RUN) --endless

.PHONY: fuzz fuzz-endless
