#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
folder=review/$(basename "$(dirname "$0")")
program=target/review-2/case-$(basename "$folder")
[ -x target/tamarack-entry ] && [ -x "$program" ] || { echo "run the build of the deploy file and review/build-2.sh first" >&2; exit 2; }
timeout --kill-after=5 118 "$program" "$folder/record.txt"
status=$?
tail -n 1 "$folder/record.txt"
case $status in 0|1) exit $status ;; *) exit 2 ;; esac
