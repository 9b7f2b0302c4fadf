#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -f target/review-3/EntryStop.class ] || exit 2
exec java -cp target/review-3 EntryStop review/15/record.txt
