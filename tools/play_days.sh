#!/usr/bin/env bash
# Plays the day files of deploy/days on a site and prints one line per day.
# Usage: tools/play_days.sh FLEETBENCH SITE OUTPUT_FOLDER [NAME_PATTERN] [JOBS]
set -euo pipefail
bench=$1 site=$2 out=$3 pattern=${4:-*} jobs=${5:-4}
mkdir -p "$out"
cd "$(dirname "$0")/.."
play() {
  local name
  name=$(basename "$1" .toml)
  "$2" run "$3" "$1" --jobs 1 --why "day file $name" >"$4/$name.txt" 2>&1 || true
  grep -m1 "^$name " "$4/$name.txt" || echo "$name: $(tail -1 "$4/$name.txt")"
}
export -f play
find deploy/days -name "$pattern.toml" -print0 | sort -z |
  xargs -0 -P "$jobs" -I{} bash -c 'play "$@"' _ {} "$bench" "$site" "$out"
