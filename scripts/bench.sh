#!/usr/bin/env bash
# Builds the bench unless it exists, and measures the decision code; arguments go to the program.
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ ! -x build/tools/bench/bench ]]; then
  scripts/build.sh --target bench >&2
fi
exec timeout "${BENCH_TIMEOUT:-1800}" build/tools/bench/bench "$@"
