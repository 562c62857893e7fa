#!/bin/bash
# Runs a case five times with its disruption and once without it.
cd "$(dirname "$0")"
for turn in 1 2 3 4 5; do "$1"/run.sh > /dev/null 2>&1; echo "$1: run $turn exits with $?"; done
cp "$1"/record.txt "$1"/record.keep
TROUBLE=0 "$1"/run.sh > /dev/null 2>&1; echo "$1: without the disruption exits with $?"
mv "$1"/record.keep "$1"/record.txt
