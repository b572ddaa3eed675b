#!/usr/bin/env bash
# The scripts' stand-ins are Python programs of the standard library: nothing is
# compiled, only checked.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "review/build.sh: no python3"; exit 1; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in stand_ins.py */case.py; do
  python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' \
    "$file" "$folder/out.pyc" || exit 1
done
