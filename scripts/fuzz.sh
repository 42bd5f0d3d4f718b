#!/usr/bin/env bash
# Runs every fuzz test of the module, one after the other, for FUZZTIME each,
# and goes on after a failure so that one run shows every finding.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
while IFS=: read -r file name; do
  echo "== $(dirname "$file") $name"
  go test -run '^$' -fuzz "^$name\$" -fuzztime "${FUZZTIME:-20s}" -fuzzminimizetime 10x "./$(dirname "$file")" || failed=1
done < <(grep -rHo --include='*_test.go' '^func Fuzz[A-Za-z0-9_]*' cmd internal platform test | sed 's/func //' | sort)
exit $failed
