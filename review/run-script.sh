#!/usr/bin/env bash
# Runs the script of a folder: starts its stand-ins, which start the project's processes, and ends
# by their ids the processes that are left.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
export RECORD="$folder/record.txt"
PIDS=$(mktemp)
export PIDS
timeout --signal=KILL 115 "target/review/$(basename "$folder")"
result=$?
while read -r pid; do
    if grep -qs bramblecrank "/proc/$pid/cmdline"; then kill -KILL "$pid"; fi
done < "$PIDS"
rm -f "$PIDS"
case $result in
    0 | 1) exit $result ;;
    *) exit 2 ;;
esac
