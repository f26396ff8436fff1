#!/bin/sh
# Builds the stand-ins of the cases. They are plain JavaScript without dependencies, so that only their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in standins/*.js [1-5]/*.js; do node --check "$file"; done
