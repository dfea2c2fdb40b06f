#!/usr/bin/env bash
# Shows a configuration that is not in force in time after the store has lost one response.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/case-$(basename "$folder")
[[ -x $program ]] || { echo "not run: $program is not built" >&2; exit 2; }
exec "$program" "$folder"
