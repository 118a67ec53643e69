# Fuzzes all external input with the address and the undefined-behaviour
# sanitizer, in build/fuzz. The seeds are fixed, so every run gives the same
# result.
FUZZ_SEEDS ?= 4
FUZZ_RUNS ?= 20000
FUZZ_ARGS ?=
FUZZ_OBJS := $(addprefix $(B)/test/fuzz/,driver.o mutate.o fuzz.o \
	json_surfaces.o settings_surface.o store_surfaces.o wire_surfaces.o \
	platform_surface.o)
FUZZ_MAKE = $(MAKE) --no-print-directory B=build/fuzz SAN=asan build/fuzz/hs-fuzz
FUZZ_RUN = build/fuzz/hs-fuzz --corpus test/fuzz/corpus \
	--save build/fuzz/failed --runs $(FUZZ_RUNS) $(FUZZ_ARGS)

$(B)/hs-fuzz: $(FUZZ_OBJS) $(B)/libhspoke.a
	@echo "  LD $@"
	@$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

fuzz: deps
	@$(FUZZ_MAKE)
	@$(FUZZ_RUN) --seeds $(FUZZ_SEEDS)

# Runs with one new seed after another until stopped; FUZZ_ARGS="--seed N" sets
# the first one.
fuzz-endless: deps
	@$(FUZZ_MAKE)
	@$(FUZZ_RUN) --endless

.PHONY: fuzz fuzz-endless
