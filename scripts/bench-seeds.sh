#!/usr/bin/env bash
# Plays a day of the users' bench with several seeds and prints its worth, the
# shares served and refused, and broken rules, a line a seed and the mean.
# Usage: bench-seeds.sh FLEETBENCH SITE DAY SEEDS [JOBS]
# Compare two versions by the same seeds: a day differs more between seeds than
# most changes move it.
set -euo pipefail
bench=$1 site=$2 day=$3 seeds=$4 jobs=${5:-5}
cd "$(dirname "$0")/.."
"$bench" build > /dev/null
play() {
  "$1" run "$2" "$3" --seed "$4" --no-cpu --why "seed $4" 2>&1 | grep -E "^$3 +[0-9]+/" | sed "s/^/seed $4 /"
}
export -f play
seq 1 "$seeds" | xargs -P "$jobs" -I{} bash -c 'play "$@"' _ "$bench" "$site" "$day" {} | sort -k2n |
  awk '{ print; n++; worth += $6; served += $7; refused += $8; failed += $9; if (/BROKEN/) broken++ }
       END { printf "mean worth %.3f served %.3f refused %.3f failed %.3f broken %d of %d\n", worth/n, served/n, refused/n, failed/n, broken, n }'
