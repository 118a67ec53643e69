#!/bin/sh
# Builds what the scripts of this review start, beside the programs of the deploy
# file: the project's stand-ins and the drivers of the cases, all under target/.
set -eu
cd "$(dirname "$0")/.."
make -j4 B=target target/hibiscusspoke target/standin-platform-store \
	target/standin-platform-target target/test/platform_cluster.o
packages="talloc tevent libtirpc libmicrohttpd libcurl glib-2.0 liburcu json-c nettle"
out=target/review-3
mkdir -p "$out"
for case in 11 12 13 14 15; do
	[ -f "review/$case/case.c" ] || continue
	# shellcheck disable=SC2046
	gcc -std=gnu11 -g -O2 -Wall -Wextra -Werror -pthread -D_GNU_SOURCE \
		-DG_LOG_USE_STRUCTURED -Isrc -I. $(pkg-config --cflags $packages) \
		-o "$out/case-$case" "review/$case/case.c" review/common-3/case.c \
		target/test/platform_cluster.o target/libhspoke.a \
		$(pkg-config --libs $packages) -lm
done
echo "build-3: done"
