#!/usr/bin/env bash
# Runs the case of a folder: starts its stand-in, and ends by their ids the processes that the
# stand-in started, if it left any.
set -u
cd "$(dirname "$0")/.."
case=$1
export RECORD="review/$case/record.txt"
PIDS=$(mktemp)
export PIDS
timeout --signal=KILL 115 "target/review/case-$case"
result=$?
while read -r pid; do
    if grep -qs bramblecrank "/proc/$pid/cmdline"; then kill -KILL "$pid"; fi
done < "$PIDS"
rm -f "$PIDS"
case $result in
    0 | 1) exit $result ;;
    *) exit 2 ;;
esac
