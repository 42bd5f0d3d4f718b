#!/bin/sh
# Builds the stand-ins of the cases 11 to 13, after the build of the deploy file.
cd "$(dirname "$0")/.." && go test -c -tags review3 -o target/review-3.test ./review/cases3
