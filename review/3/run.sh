#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" || exit 2
for built in ../../target/radishyoke.mjs ../../platform/dist/stand_in/store_server.js; do
  [ -f "$built" ] || exit 2
done
exec node case.mjs
