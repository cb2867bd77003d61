#!/usr/bin/env bash
# Runs the case. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 in the environment leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
rm -f record.txt
node case.mjs "$PWD/record.txt"
code=$?
grep -q 'event=result' record.txt || exit 2
exit "$code"
