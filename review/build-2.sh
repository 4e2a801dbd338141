#!/usr/bin/env bash
# Builds the programs of the scripts in review/4 to review/8: stand-ins, callers and checks, in one
# program for each case. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.rs; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review-2/case-$number" "$source"
done
