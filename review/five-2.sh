#!/bin/sh
# Runs a case five times, then once without its disruption: five-2.sh N
cd "$(dirname "$0")" || exit 2
for run in 1 2 3 4 5; do ./"$1"/run.sh; echo "run $run: exit $?"; done
cp "$1"/record.txt "$1"/record.kept 2>/dev/null
TROUBLE=0 ./"$1"/run.sh; echo "TROUBLE=0: exit $?"
mv "$1"/record.kept "$1"/record.txt
