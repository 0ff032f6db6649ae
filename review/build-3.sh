#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review 3 start. They need a C++20 compiler and the C library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -o "target/review-3/case-$number" "$source"
done
