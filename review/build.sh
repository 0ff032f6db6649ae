#!/usr/bin/env bash
# Builds the harness of the script cases, which holds all their stand-ins. Needs g++ and RapidJSON's headers, both of
# which the build of the deploy file needs, too.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -o build/harness harness/harness.cc
