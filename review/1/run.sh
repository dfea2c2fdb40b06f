#!/usr/bin/env bash
# TROUBLE=0 leaves the refusals out.
exec "$(dirname "${BASH_SOURCE[0]}")/../common/run_case.sh" "$(dirname "${BASH_SOURCE[0]}")"
