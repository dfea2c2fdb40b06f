#!/usr/bin/env bash
# Builds the stand-ins and checks of all cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cpp; do
  name=${source%/case.cpp}
  g++ -std=c++20 -O1 -g -Wall -Wextra -Icommon -o "bin/case-$name" "$source" -lboost_json -pthread &
done
failed=0
for job in $(jobs -p); do wait "$job" || failed=1; done
exit "$failed"
