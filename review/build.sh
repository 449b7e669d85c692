#!/usr/bin/env bash
# Builds the stand-ins of all scripts of the review, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    [ -f "$source" ] || continue
    number="$(basename "$(dirname "$source")")"
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread review/kit/kit.cpp "$source" -o "target/review/case$number"
done
