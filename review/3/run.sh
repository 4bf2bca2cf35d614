#!/bin/sh
# An endpoint begins to drain while discovery takes 1.5 s to write an answer.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -f ../target/SlowDiscovery.class ] || { echo "run review/build.sh first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec java -Xmx512m -cp ../target SlowDiscovery ../.. record.txt
