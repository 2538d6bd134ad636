#!/bin/bash
# The stand-ins of the second review are plain modules that need no building and
# no package; this checks that they can be read.
cd "$(dirname "$0")" || exit 2
for file in stand-ins-2/*.mjs {6,7,8,9,10}/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
