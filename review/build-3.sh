#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are plain JavaScript without dependencies, and none
# of the project's own stand-ins is used, so they are only checked for syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.mjs 1[1-5]/case.mjs; do
  node --check "$file"
done
