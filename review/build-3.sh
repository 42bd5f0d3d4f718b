#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
cd "$(dirname "$0")/.." && go build -o target/review-kit3 ./review/_kit3
