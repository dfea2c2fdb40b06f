#!/usr/bin/env bash
# TROUBLE=0 lets the changes come 2 s apart.
exec "$(dirname "${BASH_SOURCE[0]}")/../common/run_case.sh" "$(dirname "${BASH_SOURCE[0]}")"
