#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../../run-script.sh" "$(dirname "$0")"
