#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. Run after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -tags review -o target/review/cases ./review/cases
