#!/usr/bin/env bash
# Runs all tests: first those that may share the machine, then those with crowds of
# clients, one at a time. Options are passed to both runs.
# Usage: tools/run_tests.sh [AVA_OPTION...]
set -uo pipefail
cd "$(dirname "$0")/.."
npx ava "$@" && shared=0 || shared=$?
npx ava --config crowd.ava.config.mjs "$@" && crowds=0 || crowds=$?
[ "$shared" -eq 0 ] && [ "$crowds" -eq 0 ]
