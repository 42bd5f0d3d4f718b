#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. Run after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]*/; do
  if [ -f "$folder/main.go" ]; then
    go build -buildvcs=false -tags review -o "target/review/case-$(basename "$folder")" "./$folder"
  fi
done
