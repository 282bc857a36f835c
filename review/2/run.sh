#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if ! { command -v node > /dev/null && [ -f target/agatebend.cjs ]; }; then
    echo "the case cannot run: it needs node and the build of the deploy file" | tee review/2/record.txt
    exit 2
fi
exec node review/2/case.mjs
