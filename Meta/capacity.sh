#!/usr/bin/env bash
# Builds the system and measures the resource usage of nodes; docs/CAPACITY.md has the commands and their results.
# Usage: Meta/capacity.sh fleet|gateway|latency|fit [FLAG...]; --help lists the flags of each.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" != fit ]; then
    cmake -S . -B Build -G Ninja >/dev/null
    cmake --build Build --target hyssopstep hyssopstep-stand-in >/dev/null
fi
exec python3 Meta/capacity.py "$@"
