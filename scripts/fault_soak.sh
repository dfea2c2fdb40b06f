#!/usr/bin/env bash
# Runs the fault soak: `scripts/fault_soak.sh --seed N` replays one run, `--seeds FROM TO` runs each
# seed of a range. Further options go to the program, such as `--seconds N`.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh > /dev/null
program=(build/platform/soak/fault_soak --program build/packages/daemon/poplarfrontd)
if [[ "${1:-}" != --seeds ]]; then
  exec "${program[@]}" "$@"
fi
from=$2
to=$3
shift 3
failed=()
for ((seed = from; seed <= to; ++seed)); do
  "${program[@]}" --seed "$seed" "$@" || failed+=("$seed")
done
echo "failed seeds: ${failed[*]:-none}"
((${#failed[@]} == 0))
