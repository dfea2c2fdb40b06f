#!/usr/bin/env bash
# Checks format and clang-tidy. With file names, checks only those files; --fix formats in place.
set -euo pipefail
cd "$(dirname "$0")/.."
fix=0
if [[ "${1:-}" == --fix ]]; then fix=1; shift; fi
if (($# > 0)); then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard 'packages/*.cpp' 'packages/*.h' \
    'standins/*.cpp' 'standins/*.h' 'tools/*.cpp' 'tools/*.h' 'tests/*.cpp' 'tests/*.h' 'platform/*.cpp' 'platform/*.h' | grep -v '/generated/')
fi
if ((fix)); then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run --Werror "${files[@]}"
fi
errors=$(mktemp)
trap 'rm -f "$errors"' EXIT
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$' || true)
if ((${#sources[@]} > 0)); then
  printf '%s\n' "${sources[@]}" | timeout 900 xargs -P "${JOBS:-$(nproc)}" -n 1 clang-tidy -p build --quiet 2>"$errors" || {
    grep -v 'warnings generated\|Suppressed\|Use -header-filter' "$errors" || true
    exit 1
  }
fi
