#!/usr/bin/env bash
# Configures and builds everything in build/. JOBS limits the parallel compilations.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j "${JOBS:-$(nproc)}" "$@"
