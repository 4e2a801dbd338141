#!/usr/bin/env bash
exec "$(dirname "$0")/../../run-script.sh" "$(dirname "$0")"
