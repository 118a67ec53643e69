#!/bin/sh
# Builds the programs that the cases start: the project's program and stand-ins
# as the deploy file builds it, and the cases' own, in target/review/.
set -eu
cd "$(dirname "$0")/.."
pkgs="talloc tevent libtirpc libmicrohttpd libcurl glib-2.0 liburcu json-c"
make -j8 B=target target/hibiscusspoke target/standin-platform-store \
	target/standin-platform-target target/test/platform_cluster.o \
	target/test/soak/proxy.o target/libhspoke.a
mkdir -p target/review
for source in review/[1-4]/*.c; do
	program=target/review/$(basename "$source" .c)
	# shellcheck disable=SC2046
	gcc -std=gnu11 -g -O2 -Wall -Wextra -Werror -pthread -D_GNU_SOURCE \
		-DG_LOG_USE_STRUCTURED -Isrc -I. $(pkg-config --cflags $pkgs) \
		-o "$program.new" "$source" review/common/support.c \
		target/test/platform_cluster.o target/test/soak/proxy.o \
		target/libhspoke.a $(pkg-config --libs $pkgs) -lm
	mv "$program.new" "$program"
	echo "built $program"
done
