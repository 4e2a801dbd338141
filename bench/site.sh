#!/usr/bin/env bash
# Starts a sample site as separate processes, runs a command, and stops the site.
#
#   bench/site.sh SITE BASE_PORT FOLDER [--alone] -- COMMAND...
#
# Stops only processes that it started, by process id.
set -euo pipefail
bin=${BRAMBLECRANK:-target/release/bramblecrank}
site=$1 base=$2 folder=$3
shift 3
alone=
if [ "$1" = --alone ]; then
  alone=--alone
  shift
fi
[ "$1" = -- ] && shift
rm -rf "$folder"
"$bin" site "$site" --out "$folder" --base-port "$base" $alone >/dev/null
# EDIT is a command that may change the files of the site before the processes start.
if [ -n "${EDIT:-}" ]; then (cd "$folder" && eval "$EDIT"); fi
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap finish EXIT
start() { # kind, settings name
  "$bin" --log-level "${LOG:-warn}" $1 --settings "$folder/$2.yaml" 2>"$folder/$2.log" &
  pids+=($!)
  echo "$2 $!" >>"$folder/pids"
}
start "emulate platform" platform
for file in "$folder"/engine-*.yaml; do start "emulate engine" "$(basename "$file" .yaml)"; done
for file in "$folder"/service-*.yaml; do start "emulate service" "$(basename "$file" .yaml)"; done
for file in "$folder"/control-*.yaml; do start control "$(basename "$file" .yaml)"; done
for file in "$folder"/router-*.yaml; do start router "$(basename "$file" .yaml)"; done
operators=$(for n in 0 1 2; do printf '127.0.0.1:%d,' $((base + 200 + n)); done)
"$bin" config apply "$folder/configuration.yaml" --to "${operators%,}" --operation first >/dev/null
for _ in $(seq 100); do
  ready=0
  for n in 0 1 2 3 4 5 6 7 8; do
    (exec 3<>"/dev/tcp/127.0.0.1/$((base + 100 + n))") 2>/dev/null && ready=$((ready + 1))
  done
  [ "$ready" = 9 ] && break
  sleep 0.1
done
export SITE_FOLDER=$folder SITE_BASE=$base
"$@"
