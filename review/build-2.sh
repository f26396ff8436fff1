#!/bin/sh
# Builds what the cases of the second review start beside the daemon: their stand-ins are plain JavaScript, so this only checks that Node.js reads them.
set -eu
cd "$(dirname "$0")/.."
for file in review/platform-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
