#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are plain scripts for Node.js without dependencies, so they are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness-2/*.mjs {6,7,8,9,10}/*.mjs; do node --check "$file"; done
[ -f ../target/tamarackferry-front.mjs ] || { echo 'target/tamarackferry-front.mjs is missing: run the build of deploy/system.toml first' >&2; exit 1; }
