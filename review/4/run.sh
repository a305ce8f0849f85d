#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
timeout --kill-after=5 110 target/review/movedfailure target/bin/zinniadockd "$folder/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
