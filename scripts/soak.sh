#!/usr/bin/env bash
# Builds the soak unless it exists, and runs it: random searches under faults, one million unless
# --requests says otherwise. Arguments go to the program.
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ ! -x build/tools/soak/soak ]]; then
  scripts/build.sh --target soak >&2
fi
exec timeout "${SOAK_TIMEOUT:-3600}" build/tools/soak/soak "$@"
