#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start: one program a case, with its stand-ins, under target/review-2/.
# Needs the packages of deploy/system.toml only; target/tamarack-entry comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/*/case.cc; do
    number=$(basename "$(dirname "$case")")
    grep -q harness-2 "$case" || continue
    "${CXX:-g++}" -std=c++20 -O2 -pthread -Wall -Wextra -o "target/review-2/case-$number" "$case"
done
