#!/usr/bin/env bash
# Guards against example settings that differ from what scripts/make_settings.sh writes, and against
# ones that poplarfrontd or poplarctl refuse. Usage: check_settings.sh POPLARFRONTD POPLARCTL
set -euo pipefail
poplarfrontd=$(realpath "$1")
poplarctl=$(realpath "$2")
cd "$(dirname "$0")/../.."

copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
failures=0

# check DESCRIPTION COMMAND...: runs a command and counts it if it fails.
check() {
  local description=$1
  shift
  if ! timeout 10 "$@"; then
    echo "failed: $description" >&2
    failures=$((failures + 1))
  fi
}

# The script writes next to itself, so it runs on a copy that has the hand-written sections.
mkdir -p "$copy/scripts"
cp scripts/make_settings.sh "$copy/scripts/"
cp -r settings "$copy/"
rm -rf "$copy"/settings/*/instances "$copy"/settings/*/sections/shards.ini
check "make_settings.sh" "$copy/scripts/make_settings.sh"
check "settings/ is what make_settings.sh writes" diff -r settings "$copy/settings"

for file in settings/*/instances/*.ini; do
  check "$file" "$poplarfrontd" --config "$file" --check-config
done
for file in settings/*/sections/*.ini; do
  check "$file" "$poplarctl" validate "$(basename "$file" .ini)" "$file"
done
exit $((failures > 0))
