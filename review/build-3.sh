#!/bin/sh
# Builds what the scripts of cases 11 and up start beside the program. Their stand-ins are plain Node.js files without
# dependencies (lib-3/), so there is nothing to compile; this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
    node --check "$file"
done
