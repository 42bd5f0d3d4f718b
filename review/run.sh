#!/usr/bin/env bash
# Runs a case: run.sh FOLDER. The case's own run.sh calls it.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
SIDECAR=$(sed -n '/^\[roles.sidecar\]/,/^\[/s/^run = "\(.*\)"$/\1/p' deploy/system.toml)
program=target/review/cases
if [ ! -x "${SIDECAR%% *}" ] || [ ! -x "$program" ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
CASE=$(basename "$folder")
export SIDECAR CASE RECORD_DIR=$folder
timeout -k 3 115 "$program"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
