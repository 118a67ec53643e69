#!/bin/sh
# Runs the driver of a case: run.sh NUMBER. It writes review/NUMBER/record.txt.
# Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
driver=target/review-3/case-$1
[ -x "$driver" ] || {
	echo "missing: $driver (review/build-3.sh builds it)" >&2
	exit 2
}
dir=$(mktemp -d) || exit 2
timeout 115 "$driver" target "$dir" "review/$1/record.txt"
status=$?
rm -rf "$dir"
[ "$status" -le 2 ] || status=2
exit "$status"
