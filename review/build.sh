#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies, so that nothing has to be compiled; checks that they can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness/*.js [1-5]/case.js; do
  node --check "$file"
done
