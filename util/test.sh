#!/usr/bin/env bash
# Builds everything and runs all tests. The preset is debug unless named.
set -euo pipefail
cd "$(dirname "$0")/.."
util/setup.sh
preset=${1:-debug}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
util/ctest.sh "$preset"
