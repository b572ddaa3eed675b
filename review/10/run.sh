#!/usr/bin/env bash
# Plays this case on loopback; see claim.txt. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
set -u
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
