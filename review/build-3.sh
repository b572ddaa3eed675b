#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/11 to review/15 start. They
# are written in Python and need no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lab_3.py 1[1-5]/*.py <<'P'
import ast
import sys
for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as source:
        ast.parse(source.read(), path)
P
echo "the stand-ins of review/11 to review/15 can be read"
