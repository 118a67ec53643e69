# Top-level Makefile. Each directory lists its sources in src/*/part.mk,
# platform/part.mk and test/*/part.mk; mk/ has the targets of longer checks.
#
#	make          build the hibiscusspoke binary and the stand-ins
#	make deps     install missing Debian packages
#	make check    make deps, then build and run every test program
#	make lint     check the format, and run the linters
#	make proto    generate the XDR codec of src/proto anew
#
# SAN=asan or SAN=tsan builds with that sanitizer, in build/asan or build/tsan.

.DEFAULT_GOAL := all
SAN ?=
B := build$(if $(SAN),/$(SAN))
PKGS := talloc tevent libtirpc libmicrohttpd libcurl glib-2.0 liburcu json-c \
	nettle
CC ?= gcc
OPT ?= -O2
CFLAGS += -std=gnu11 -g $(OPT) -Wall -Wextra -Werror -Wshadow \
	-Wstrict-prototypes -Wmissing-prototypes -Wformat=2 -Wvla \
	-fno-omit-frame-pointer -pthread -D_GNU_SOURCE \
	-DG_LOG_USE_STRUCTURED -Isrc -I.
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lm
SAN_FLAGS :=
ifeq ($(SAN),asan)
SAN_FLAGS := -fsanitize=address,undefined -fno-sanitize-recover=all
endif
ifeq ($(SAN),tsan)
SAN_FLAGS := -fsanitize=thread
endif

SRCS :=
include $(sort $(wildcard src/*/part.mk platform/part.mk))
LIB_OBJS := $(SRCS:%.c=$(B)/%.o)
BIN := $(B)/hibiscusspoke
TESTS := $(patsubst test/%.c,$(B)/test/%,$(sort $(wildcard test/test_*.c)))
STANDINS :=
include $(sort $(wildcard test/part.mk test/*/part.mk))
BENCHES :=
-include bench/part.mk

all: $(BIN) $(STANDINS)

deps:
	@tools/install-deps

$(B)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC $<"
	@$(CC) $(CFLAGS) $(PKG_CFLAGS) $(SAN_FLAGS) -MMD -MP -c -o $@ $<

# rpcgen generates unused local variables.
$(B)/src/proto/hspoke_xdr.o: CFLAGS += -Wno-unused-variable

$(B)/libhspoke.a: $(LIB_OBJS)
	@rm -f $@
	@ar rcs $@ $^

$(BIN): $(B)/src/cli/main.o $(B)/libhspoke.a
	@echo "  LD $@"
	@$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

# The library is linked last, after the objects that some tests add.
$(B)/test/test_%: $(B)/test/test_%.o $(B)/libhspoke.a
	@echo "  LD $@"
	@$(CC) $(SAN_FLAGS) -pthread -o $@ $(filter-out %.a,$^) \
		$(filter %.a,$^) $(PKG_LIBS) -lcmocka

test-programs: $(TESTS) $(BIN) $(STANDINS)

check: deps
	@$(MAKE) --no-print-directory test-programs
	@tools/run-tests $(B)

lint: deps
	@tools/lint

clean:
	rm -rf build

# Run by hand after a change of src/proto/hspoke.x; the output is committed.
proto:
	rm -f src/proto/hspoke.h src/proto/hspoke_xdr.c
	cd src/proto && rpcgen -C -M -N -h -o hspoke.h hspoke.x
	cd src/proto && rpcgen -C -M -N -c -o hspoke_xdr.c hspoke.x

.PHONY: model matrix fuzz bench demo all deps check lint clean proto test-programs
.SECONDARY:
-include $(wildcard mk/*.mk)
-include $(shell find $(B) -name '*.d' 2>/dev/null)
