#!/bin/bash
# play.sh CASE DIR plays one case in a temporary folder and writes DIR/record.txt.
# It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
review=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$review/.." && pwd)
stage=$review/bin/stage
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
[ -x "$stage" ] && [ -x "$root/bin/fernlanding" ] && [ -n "$run" ] || { echo "not built" >&2; exit 2; }
tmp=$(mktemp -d) || exit 2
STAGE_TMP=$tmp STAGE_ROOT=$root STAGE_RUN=$run "$stage" "$1" "$2" &
pid=$!
(sleep 115; kill -KILL "$pid" 2>/dev/null) >/dev/null 2>&1 &
guard=$!
wait "$pid"
rc=$?
pkill -P "$guard" 2>/dev/null
kill "$guard" 2>/dev/null
wait "$guard" 2>/dev/null
[ -s "$tmp/p0.log" ] && sed 's/^/proxy log p0 /' "$tmp/p0.log" >> "$2/record.txt"
rm -rf "$tmp"
case $rc in 0|1) exit "$rc" ;; *) exit 2 ;; esac
