#!/usr/bin/env bash
# Guards against a deployed program that is not built from the sources beside it, because its build folder has objects of an
# earlier version that are newer than the files (review/9 on a machine that kept target/). Runs the build command of the
# deploy file twice: on an earlier version, and on the present sources with earlier file times.
set -euo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'code=$?; if [ $code -eq 0 ]; then rm -rf "$folder"; else echo "The folder of the failed test is kept: $folder"; fi' EXIT
program=target/apps/yuccagraded/yuccagraded
earlier_source="text of an earlier source"
earlier_header="text of an earlier header"

fail() {
    echo "FAILED: $*"
    exit 1
}
copy_sources() { cp -r CMakeLists.txt cmake packages platform apps deploy scripts "$folder"; }
build() { (cd "$folder" && bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)") > "$folder/build.log" 2>&1 || fail "build: $(tail -5 "$folder/build.log")"; }
named_sources() { "$folder/$program" --version | sed -n 's/^sources //p'; }

# Long, since the compiler puts short texts and the end of others into its instructions.
repeated() { printf "$1, %.0s" {1..8}; }

copy_sources
sed -i "s/is not a complete JSON object/$(repeated "$earlier_source")/" "$folder/platform/document.cpp"
sed -i "s/constexpr auto noKey = \"-\"/constexpr auto noKey = \"$(repeated "$earlier_header")\"/" "$folder/packages/meshnode/denialhistory.h"
build
for text in "$earlier_source" "$earlier_header"; do
    grep -q "$text" "$folder/$program" || fail "the earlier program does not hold $text"
done
earlier=$(named_sources)

copy_sources
find "$folder" -path "$folder/target" -prune -o -type f -exec touch -d 2020-01-01 {} +
build
for text in "$earlier_source" "$earlier_header"; do
    ! grep -q "$text" "$folder/$program" || fail "the program still holds $text"
done
present=$(named_sources)
expected=$(scripts/sources.sh)
[ "$present" = "$expected" ] || fail "the program names the sources '$present', the checkout has $expected"
[ "$present" != "$earlier" ] || fail "two versions name the same sources $present"
echo "The program names its sources, $present; the earlier one named $earlier"
