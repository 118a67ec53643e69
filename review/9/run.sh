#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the silence out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/target/review-2/silence" ] || { echo "not run: not built"; exit 2; }
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
"$root/target/review-2/silence" "$root/target" "$dir" "$here/record.txt"
