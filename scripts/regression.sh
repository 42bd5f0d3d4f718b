#!/usr/bin/env bash
# Plays the standard days of deployments on the users' bench and prints a line a day:
# worth, shares served, refused and failed, the same of the last saved run, and broken
# rules. Fails if a rule is broken or a gate is not passed.
# Usage: regression.sh [--save] [--from OUTPUT] FLEETBENCH SITE...
#   --save    replaces the saved figures of these deployments
#   --from    reads the output of an earlier `score` of the one SITE instead of playing
set -euo pipefail
save="" from=""
while [[ ${1:-} == --* ]]; do
  case $1 in
    --save) save=yes; shift ;;
    --from) from=$(realpath "$2"); shift 2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
done
bench=$1
shift
cd "$(dirname "$0")/.."
saved=scripts/regression.txt
touch "$saved"
failed=0
for site in "$@"; do
  name=$(basename "$site" .toml)
  output=$(mktemp)
  if [ -n "$from" ]; then
    cp "$from" "$output"
  else
    "$bench" score "$site" --jobs "$(($(nproc) / 2))" --why "regression of $(git rev-parse --short HEAD)" > "$output" || failed=1
  fi
  # Days that are drawn anew in each run have no figures to compare.
  days=$(awk -v site="$name" '$1 ~ /-[0-9]+$/ && $2 ~ /^[0-9]+\/[0-9]+$/ { print site, $1, $4, $5, $6, $7, (/BROKEN/ ? "BROKEN" : "ok") }' "$output")
  while read -r _ day worth served refused fails rules; do
    last=$(awk -v s="$name" -v d="$day" '$1 == s && $2 == d { print $3, $4, $5, $6 }' "$saved")
    printf '%-24s %-10s %-6s worth %s served %s refused %s failed %s; last: %s\n' "$name" "$day" "$rules" "$worth" "$served" "$refused" "$fails" "${last:-none}"
    [ "$rules" = ok ] || failed=1
  done <<< "$days"
  grep -q "GATE passed" "$output" || { echo "$name: the gate is not passed"; failed=1; }
  if [ -n "$save" ]; then
    { grep -v "^$name " "$saved" || true; grep -v ' fresh-' <<< "$days" | cut -d' ' -f1-6; } | sort > "$saved.new"
    mv "$saved.new" "$saved"
  fi
  rm -f "$output"
done
exit "$failed"
