#!/usr/bin/env bash
# Runs the tests of platform/crowd one at a time, because they need the machine for themselves. Tests that
# KNOWN-RED.txt lists as known to fail are left out.
set -euo pipefail
cd "$(dirname "$0")/.."
program=$(mktemp)
trap 'rm -f "$program"' EXIT
go test -tags crowd -c -o "$program" ./platform/crowd
known_red=$(sed -n 's/^   test: *//p' KNOWN-RED.txt 2>/dev/null)
failed=0
cd platform/crowd
for test in $("$program" -test.list .); do
  if grep -qx "$test" <<<"$known_red"; then
    continue
  fi
  "$program" -test.run "^$test\$" -test.timeout 15m -test.v || failed=1
done
exit $failed
