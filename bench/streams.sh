#!/usr/bin/env bash
# Measures the cost of a router with 9,000 open streams and the latency it adds to one call.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BRAMBLECRANK:-target/release/bramblecrank}
out=${OUT:-out} base=${BASE:-20000}
python3 bench/loads.py "$out/loads" "$base"
echo "9,000 streams through router-1:"
EDIT='sed -i "s/slots: 16/slots: 1200/; s/token_us: 5000/token_us: 200000/; s/max_waiting: 256/max_waiting: 20000/" *.yaml' \
  bench/site.sh perak "$base" "$out/site" -- bash bench/cost.sh inside streams | grep -E "router-1:|router-2:|answered|waiting|first byte|over"
echo "One caller, straight to an engine, then through a router:"
bench/site.sh perak "$base" "$out/site" -- bash -c \
  "'$bin' load run '$out/loads/straight.yaml' | grep -E 'first byte|whole'; '$bin' load run '$out/loads/one-caller.yaml' | grep -E 'first byte|whole'"
echo "Plain calls of 20 ms, 64 callers through router-1:"
bench/site.sh perak "$base" "$out/site" -- bash bench/cost.sh inside plain-flood | grep -E "router-1:|answered|whole|utilisation|over|harbour"
