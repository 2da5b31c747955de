#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../../.." || exit 2
[ -x review/bin/further_slow_discovery ] && [ -x target/release/frostkeel-balancer ] || { echo "build first" >&2; exit 2; }
exec review/bin/further_slow_discovery review/further/slow-discovery
