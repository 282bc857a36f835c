#!/bin/sh
# Builds what the scripts of cases 6 and up start beside the program. Their stand-ins are plain Node.js files without
# dependencies (lib-2/), so there is nothing to compile; this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs; do
    node --check "$file"
done
