#!/usr/bin/env bash
# Plays the days of deploy/regressions.txt and prints one line per day.
# Usage: tools/play_regressions.sh FLEETBENCH SITES_FOLDER OUTPUT_FOLDER [JOBS]
# Site files may also be in subfolders of SITES_FOLDER, one level deep.
set -euo pipefail
bench=$1 sites=$2 out=$3 jobs=${4:-4}
mkdir -p "$out"
cd "$(dirname "$0")/.."
play() {
  local site=$4 day=$5 seed=$6 file site_file args=()
  site_file=$(find "$2" -maxdepth 2 -name "$site.toml" -print -quit)
  file="$3/$site-$day-$seed.txt"
  [ "$seed" = - ] || args=(--seed "$seed" --no-cpu)
  "$1" run "$site_file" "$day" "${args[@]}" --jobs 1 --why "regression $site $day $seed" >"$file" 2>&1 || true
  echo "$site $(grep -m1 "^$day " "$file" || tail -1 "$file")"
}
export -f play
grep -v '^#' deploy/regressions.txt | awk '{print $1, $2, $3}' |
  xargs -P "$jobs" -L1 bash -c 'play "$@"' _ "$bench" "$sites" "$out"
