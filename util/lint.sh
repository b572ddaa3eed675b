#!/usr/bin/env bash
# Runs clang-tidy over the named sources, or over every source that the debug
# preset compiles. A source that was clean is not read again until it, a header
# of the project that it includes, or the rules change.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/debug/compile_commands.json ] || cmake --preset debug >/dev/null
files=("$@")
[ "${#files[@]}" -gt 0 ] || mapfile -t files < <(git ls-files '*.cc' ':!*_fuzz.cc')
export LINT_CACHE=${SHALLOTPORT_LINT_CACHE:-$HOME/.cache/shallotport-lint}
mkdir -p "$LINT_CACHE"
tidy() { clang-tidy-14 -quiet -p build/debug "$1" 2> >(grep -v 'warnings generated' >&2); }
lint_one() {
  local file=$1 included key
  # Sources whose headers cannot be found are read each time.
  included=$(g++ -std=c++20 -MM -I. -Isrc/libshallotport -Isrc "$file" 2>/dev/null) || { tidy "$file"; return; }
  key=$(tr -d '\\' <<<"$included" | tr -s ' \n' '\n\n' | grep -v -e ':$' -e '^$' | sort -u |
    xargs sha256sum | cat - .clang-tidy <(clang-tidy-14 --version) | sha256sum | cut -d' ' -f1)
  [ -e "$LINT_CACHE/$key" ] && return 0
  tidy "$file" && touch "$LINT_CACHE/$key"
}
export -f tidy lint_one
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
