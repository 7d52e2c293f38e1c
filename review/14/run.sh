#!/bin/bash
# Plays the case. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-standin-3
if [ ! -x "$program" ] || [ ! -x target/fescuerill ]; then
	echo "not built: run the build of deploy/system.toml and review/build-3.sh"
	exit 2
fi
timeout --kill-after=5 110 "$program" restored-store-evacuation review/14/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
