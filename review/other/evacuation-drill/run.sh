#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
CASE_DIR=$PWD ROOT=$(cd ../../.. && pwd) TROUBLE=${TROUBLE:-1}
export CASE_DIR ROOT TROUBLE
program=$ROOT/target/review/release/evacuation_drill
[ -x "$program" ] || { echo "build it first: review/build.sh"; exit 2; }
exec "$program"
