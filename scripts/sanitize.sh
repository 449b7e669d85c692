#!/usr/bin/env bash
# Builds with the address and undefined behaviour sanitizers and runs the unit tests and the properties of the parsers,
# decoders and claims. The other simulations take more than two minutes each with the sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-sanitize -G Ninja -DYUCCAGRADE_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug > /dev/null
cmake --build build-sanitize
export RC_PARAMS="${RC_PARAMS:-seed=20261204}"
ctest --test-dir build-sanitize --output-on-failure -R '^[a-z]+-unit$|^(base|protocol|config|cli|node|claims)-property$'
