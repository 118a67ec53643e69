#!/bin/sh
# run-case.sh FOLDER PROGRAM: runs a case's program in a temporary folder; its
# exit status is that of the case.
cd "$(dirname "$0")/.." || exit 2
program=target/review/$2
if [ ! -x "$program" ] || [ ! -x target/hibiscusspoke ]; then
	echo "$program isn't built; run review/build.sh" >&2
	exit 2
fi
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
"$program" target "$tmp" "review/$1/record.txt" &
child=$!
trap 'kill "$child" 2>/dev/null' INT TERM
wait "$child"
status=$?
[ -z "${KEEP_LOGS-}" ] || cp -r "$tmp" "$KEEP_LOGS"
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
