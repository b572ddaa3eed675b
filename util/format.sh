#!/usr/bin/env bash
# Formats every source file; with --check it only reports what differs.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --check ]; then
  git ls-files '*.cc' '*.h' | xargs -r clang-format-14 --dry-run -Werror
else
  git ls-files -co --exclude-standard '*.cc' '*.h' | xargs -r clang-format-14 -i
fi
