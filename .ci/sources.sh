#!/usr/bin/env bash
# The platform builds no sources that name its program folder, preloading,
# tracing of other processes or shared memory. Tests are exempt: folders named
# `tests`, and *_test.cc.
set -euo pipefail
cd "$(dirname "$0")/.."
names='fleetbench|given/kit|LD_PRELOAD|ld\.so\.preload|ptrace|process_vm_(read|write)v|/proc/[^ "]*/mem|/dev/shm|shm_open|shmget|shmat|memfd_create|MAP_SHARED'
sources=('*.cc' '*.h' '*.cmake' '*CMakeLists.txt' 'CMakePresets.json' 'deploy/*.toml' 'util/*.sh'
  ':!tests/*' ':!*/tests/*' ':!*_test.cc')
if git grep -nE "$names" -- "${sources[@]}"; then
  echo "the platform refuses to build sources with these names" >&2
  exit 1
fi
