#!/usr/bin/env bash
# Builds the stand-ins and checks of the scripts in review/6 and up into target/review-2.test. They import the
# standard library only, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review2 -o target/review-2.test ./review/cases2
