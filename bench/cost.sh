#!/usr/bin/env bash
# Measures the processor time and memory of each router and control host under a load:
# bench/cost.sh SITE LOAD
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BRAMBLECRANK:-target/release/bramblecrank}
out=${OUT:-out} base=${BASE:-20000}
if [ "${1:-}" = inside ]; then
  ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
  memory() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
  declare -A before
  while read -r name pid; do before[$name]=$(ticks "$pid"); done <"$SITE_FOLDER/pids"
  start=$(date +%s.%N)
  "$bin" load run "$out/loads/$2.yaml" --json "$out/cost.json"
  seconds=$(echo "$(date +%s.%N) - $start" | bc)
  echo "over $seconds s:"
  while read -r name pid; do
    case $name in router-* | control-*)
      used=$(echo "scale=2; ($(ticks "$pid") - ${before[$name]}) / $seconds" | bc)
      echo "  $name: $used % of a core, $(memory "$pid") KB"
      ;;
    esac
  done <"$SITE_FOLDER/pids"
  exit
fi
python3 bench/loads.py "$out/loads" "$base"
bench/site.sh "$1" "$base" "$out/site" -- bash bench/cost.sh inside "$2"
