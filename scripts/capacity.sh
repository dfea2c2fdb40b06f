#!/usr/bin/env bash
# Builds and runs the capacity measurements; arguments go to the program.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build build -j "${JOBS:-4}" --target capacity >&2
exec timeout "${CAPACITY_TIMEOUT:-600}" build/tools/capacity/capacity "$@"
