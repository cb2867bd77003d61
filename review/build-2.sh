#!/bin/sh
# The stand-ins of the second review are plain JavaScript that Node.js runs as it is, and the scripts
# start nothing of the project but the deployed program. So this only checks that all of them parse.
set -eu
cd "$(dirname "$0")"
for file in standins-2/*.mjs [0-9]*/run.mjs; do
  case "$file" in
    [1-5]/*) ;;
    *) node --check "$file" ;;
  esac
done
