#!/usr/bin/env bash
# Installs what the build, the tests and the demo need. Safe to run again.
set -euo pipefail
packages=(g++ cmake make ninja-build pkg-config ccache strace curl git
  libulfius-dev libcereal-dev libboost-dev libboost-log-dev libboost-thread-dev
  libyaml-cpp-dev nlohmann-json3-dev libxxhash-dev libssl-dev
  libgtest-dev librapidcheck-dev libbenchmark-dev
  clang-14 clang-format-14 clang-tidy-14 libclang-rt-14-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -q
"${run[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
