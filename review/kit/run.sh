#!/usr/bin/env bash
# Runs case $1. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/apps/yuccagraded/yuccagraded
if [ ! -x "target/review/case$1" ] || [ ! -x "$program" ]; then
    echo "build the deploy file and review/build.sh first" >&2
    exit 2
fi
# timeout makes a process group, which all processes of the case belong to.
timeout --signal=KILL 115 "target/review/case$1" "$program" "review/$1" &
group=$!
trap 'kill -KILL -- "-$group" 2> /dev/null; exit 2' INT TERM
wait "$group"
code=$?
kill -KILL -- "-$group" 2> /dev/null
[ "$code" -le 2 ] && exit "$code"
exit 2
