#!/usr/bin/env bash
# Runs the case of this folder: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build line of deploy/system.toml and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/tarragon-sidecar ] || [ ! -x target/review-2.test ]; then
  echo "target/tarragon-sidecar or target/review-2.test is missing" >&2
  exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 4 112 target/review-2.test "$(basename "$here")" "$work"
code=$?
[ ! -e "$work/record.txt" ] || cp "$work/record.txt" "$here/record.txt"
[ "$code" -le 1 ] || code=2
exit "$code"
