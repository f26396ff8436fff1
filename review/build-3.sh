#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start beside the daemons. The stand-ins in platform-3/ are plain modules of Node.js without
# dependencies, so that there is nothing to compile: this checks that each of them can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in platform-3/*.mjs 1[1-5]/*.mjs; do node --check "$file"; done
echo "stand-ins checked"
