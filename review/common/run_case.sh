#!/usr/bin/env bash
# usage: run_case.sh CASE_FOLDER. Runs the program of a case and passes its exit code on.
set -uo pipefail
case_folder=$(cd "$1" && pwd)
review=$(dirname "$case_folder")
program=$review/bin/case-$(basename "$case_folder")
if [[ ! -x $program ]]; then
  echo "run review/build.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
"$program" "$(dirname "$review")" "$case_folder/record.txt" "$folder"
code=$?
if [[ -n ${KEEP:-} ]]; then echo "$folder"; else rm -rf "$folder"; fi
exit "$code"
