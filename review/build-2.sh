#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 8 start. Run it after the build
# of the deploy file, which makes the program itself.
cd "$(dirname "$0")/.." || exit 2
exec npx tsc -b
