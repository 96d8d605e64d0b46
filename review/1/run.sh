#!/bin/bash
# Runs the case that claim.txt describes. With TROUBLE=0 the disruption is left out.
# Exit codes: 1, the rule was broken; 0, it held; 2, the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
dir=$(mktemp -d) || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
target/review-standin -case twice -daemon target/corianderturn -dir "$dir" -record "$here/record.txt" -trouble=$trouble
code=$?
# The program ends its processes; this ends what is left if it was itself ended.
[ -f "$dir/pids" ] && xargs kill -9 <"$dir/pids" 2>/dev/null
rm -rf "$dir"
[ $code -gt 2 ] && code=2
exit $code
