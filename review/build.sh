#!/bin/sh
# Builds the stand-ins of the cases. They are plain scripts for Node.js and Python: they are checked, and nothing is compiled.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/*.mjs; do node --check "$file"; done
