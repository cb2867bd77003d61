#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain JavaScript of this folder, so only their
# syntax is checked; the scripts use none of the project's own stand-ins. Needs no network.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness/*.js */case.js; do node --check "$file"; done
test -f ../target/platform/main.js || {
  echo 'target/ is missing: run the line `build` of deploy/system.toml first' >&2
  exit 1
}
