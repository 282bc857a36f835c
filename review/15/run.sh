#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v node > /dev/null 2>&1 || exit 2
[ -f case.mjs ] && [ -f ../lib-3/lib.mjs ] || exit 2
exec node case.mjs
