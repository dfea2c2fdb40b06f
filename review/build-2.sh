#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts in review/6 to review/10, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [[ -f $source ]] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/case-$number" "$source" -lboost_json -lpthread
done
