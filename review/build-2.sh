#!/bin/sh
# Builds what the scripts of this review start, beside the programs of the deploy
# file: the project's stand-ins and the drivers of the cases, all under target/.
set -eu
cd "$(dirname "$0")/.."
make -j4 B=target target/hibiscusspoke target/standin-platform-store \
	target/standin-platform-target target/test/platform_cluster.o \
	target/test/soak/proxy.o
pkgs="talloc tevent libtirpc libmicrohttpd libcurl glib-2.0 liburcu json-c"
out=target/review-2
mkdir -p "$out"
for source in review/6/*.c review/7/*.c review/8/*.c review/9/*.c review/10/*.c; do
	[ -f "$source" ] || continue
	# shellcheck disable=SC2046
	gcc -std=gnu11 -g -O2 -Wall -Wextra -Werror -pthread -D_GNU_SOURCE \
		-DG_LOG_USE_STRUCTURED -Isrc -I. $(pkg-config --cflags $pkgs) \
		-o "$out/$(basename "$source" .c)" "$source" \
		review/common-2/case.c target/test/platform_cluster.o \
		target/test/soak/proxy.o target/libhspoke.a \
		$(pkg-config --libs $pkgs) -lm
done
echo "build-2: done"
