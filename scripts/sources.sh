#!/usr/bin/env bash
# Prints the digest of the sources of the programs in this checkout. A program built from them names the same one
# (yuccagraded --version). Needs neither git nor a build.
set -euo pipefail
cd "$(dirname "$0")/.."
find CMakeLists.txt cmake packages platform apps -type f \( -name '*.cpp' -o -name '*.h' -o -name CMakeLists.txt -o -name '*.cmake' \) |
    LC_ALL=C sort | xargs sha256sum | sha256sum | cut -c1-16
