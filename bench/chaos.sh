#!/usr/bin/env bash
# Sends thousands of ticket calls, some of them again, while routers and control hosts
# are killed and frozen at random, and checks the answers against the services' ledgers:
#   bench/chaos.sh [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BRAMBLECRANK:-target/release/bramblecrank}
out=${OUT:-out} base=${BASE:-20000}
if [ "${1:-}" = inside ]; then
  RANDOM=$2
  "$bin" load run "$out/loads/tickets.yaml" --json "$out/chaos.json" &
  load=$!
  again=()
  trap 'for pid in "${again[@]}"; do kill "$pid" 2>/dev/null || true; done' EXIT
  declare -A pid_of
  while read -r name pid; do pid_of[$name]=$pid; done <"$SITE_FOLDER/pids"
  names=(router-1 router-2 router-3 router-4 router-5 router-6 router-7 router-8 router-9
    control-1 control-2 control-3)
  sleep 3
  for _ in $(seq 12); do
    name=${names[RANDOM % ${#names[@]}]}
    pid=${pid_of[$name]}
    if [ $((RANDOM % 3)) = 0 ]; then
      echo "freeze $name for 2 s"
      kill -STOP "$pid"
      sleep 2
      kill -CONT "$pid"
    else
      echo "kill $name and start it again"
      kill -KILL "$pid"
      "$bin" --log-level warn "${name%-*}" --settings "$SITE_FOLDER/$name.yaml" \
        2>>"$SITE_FOLDER/$name.log" &
      pid_of[$name]=$!
      again+=($!)
      sleep 1
    fi
    sleep 1
  done
  wait "$load"
  exit
fi
python3 bench/loads.py "$out/loads" "$base"
bench/site.sh perak "$base" "$out/site" -- bash bench/chaos.sh inside "${1:-1}"
