#!/usr/bin/env bash
# Runs one load first against the baseline (each router dispatches by itself) and then
# against the fleet, and prints both reports: bench/compare.sh SITE LOAD
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BRAMBLECRANK:-target/release/bramblecrank}
out=${OUT:-out} base=${BASE:-20000}
python3 bench/loads.py "$out/loads" "$base"
bench/site.sh "$1" "$base" "$out/site" --alone -- \
  "$bin" load run "$out/loads/$2.yaml" --json "$out/$2-alone.json" >"$out/$2-alone.txt"
bench/site.sh "$1" "$base" "$out/site" -- \
  "$bin" load run "$out/loads/$2.yaml" --json "$out/$2-fleet.json" --plot "$out/$2.svg" >"$out/$2-fleet.txt"
echo "left: routers alone; right: fleet"
"$bin" load compare "$out/$2-alone.json" "$out/$2-fleet.json"
