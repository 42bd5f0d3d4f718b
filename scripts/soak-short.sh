#!/usr/bin/env bash
# Two short soaks with fixed seeds. They assert safety only. A run that cannot
# start its processes (exit code 3) is tried once more, because another program
# may have taken a port in the meantime.
set -euo pipefail
cd "$(dirname "$0")/.."
run() {
  local code=0
  bin/harness soak "$@" || code=$?
  if [ "$code" = 3 ]; then
    code=0
    bin/harness soak "$@" || code=$?
  fi
  return "$code"
}
run --deployment trust --seed 101 --duration 25s --rate 200
run --deployment paramo --seed 201 --duration 25s --rate 200
