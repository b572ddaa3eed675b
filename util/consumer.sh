#!/usr/bin/env bash
# Installs the release build into a temporary folder and builds and runs
# examples/consumer against it by find_package(shallotport).
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
cmake --build --preset release --target shallotport_deploy shallotport_serving shallotport_membership shallotport_entryhost >/dev/null
prefix=$(mktemp -d /tmp/shallotport-install.XXXXXX)
trap 'rm -rf "$prefix"' EXIT
cmake --install build/release --prefix "$prefix" >/dev/null
cmake -S examples/consumer -B "$prefix/build" -G Ninja -DCMAKE_PREFIX_PATH="$prefix" >/dev/null
cmake --build "$prefix/build" >/dev/null
"$prefix/build/consumer"
