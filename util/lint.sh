#!/usr/bin/env bash
# Runs clang-tidy over the named sources, or over every source that the debug
# preset compiles.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/debug/compile_commands.json ] || cmake --preset debug >/dev/null
files=("$@")
[ "${#files[@]}" -gt 0 ] || mapfile -t files < <(git ls-files '*.cc' ':!*_fuzz.cc')
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy-14 -quiet -p build/debug 2> >(grep -v 'warnings generated' >&2)
