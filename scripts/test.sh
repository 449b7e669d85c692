#!/usr/bin/env bash
# Sets up, builds and runs all tests. KNOWN-RED.txt names the tests that may fail; they still run and are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${YUCCAGRADE_SKIP_SETUP:-}" != 1 ]; then scripts/setup.sh; fi
cmake -S . -B build -G Ninja > /dev/null
cmake --build build
export RC_PARAMS="${RC_PARAMS:-seed=20261204}"
known_red=""
if [ -s KNOWN-RED.txt ]; then
    known_red=$(sed -n 's/^test: \([A-Za-z0-9_.-]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|')
fi
if [ -n "$known_red" ]; then
    ctest --test-dir build --output-on-failure -LE measure -E "^($known_red)$"
    echo "Known red tests (KNOWN-RED.txt); a failure here does not fail the run:"
    ctest --test-dir build -R "^($known_red)$" || true
else
    ctest --test-dir build --output-on-failure -LE measure
fi
