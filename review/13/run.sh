#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-3/case-$(basename "$folder")
[ -x "$program" ] || exit 2
"$program" "$folder"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
