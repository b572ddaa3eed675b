#!/usr/bin/env bash
# Builds the libFuzzer targets and runs each one over its corpus.
#   util/fuzz.sh --brief          a fixed number of runs with a fixed seed (CI)
#   util/fuzz.sh SECONDS [NAME]   longer, also on one target; new inputs are kept
#                                 in build/fuzz/corpus/
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset fuzz >/dev/null
mapfile -t targets < <(git ls-files '*_fuzz.cc' | xargs -n1 basename | sed 's/\.cc$//' | sort)
[ "$#" -lt 2 ] || targets=("$2")
cmake --build --preset fuzz --target "${targets[@]}"
limits=(-runs=20000 -seed=1)
[ "${1:---brief}" = --brief ] || limits=(-max_total_time="$1")
for target in "${targets[@]}"; do
  program=$(find build/fuzz/src build/fuzz/platform -type f -name "$target" -perm -u+x | head -n 1)
  kept=build/fuzz/corpus/$target
  mkdir -p "$kept"
  echo "-- $target"
  "$program" "${limits[@]}" -rss_limit_mb=1024 -timeout=10 -max_len=65536 \
    -artifact_prefix="build/fuzz/$target-" -verbosity=0 "$kept" "tests/fuzz/corpus/$target" >"build/fuzz/$target.log" 2>&1 ||
    { tail -n 40 "build/fuzz/$target.log"; exit 1; }
done
