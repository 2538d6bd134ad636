#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules of Node.js in review/lib and
# need no build. Checks that they can be loaded and that the deploy file's build
# has made the program that the scripts start.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/celerytray_host.mjs
for file in review/lib/*.js review/*/case.js; do
  node --check "$file"
done
