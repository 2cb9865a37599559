#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 6 to 10 start, into
# target/review-2/. The entry program comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Werror \
  -o target/review-2/deployment review/standins-2/deployment.cc
