#!/usr/bin/env bash
# shallotportd runs the roles of a fleet and checks the settings of both kinds.
set -euo pipefail
build=$1
work=$(mktemp -d /tmp/shallotport-test.XXXXXX)
trap 'rm -rf "$work"' EXIT
daemon=$build/src/shallotportd/shallotportd
fail() { printf 'FAILED: %s\n' "$1" >&2; exit 1; }

# expect CODE TEXT COMMAND...
expect() {
  local code=0 wanted=$1 text=$2 said
  shift 2
  said=$("$@" 2>&1) || code=$?
  [ "$code" = "$wanted" ] || fail "$*: exit code $code, not $wanted: $said"
  grep -qF -- "$text" <<<"$said" || fail "$*: '$text' is not in: $said"
}

cat >"$work/fleet.txt" <<'END'
# lines KEY=VALUE
nodeName=store-a-1
ip=127.0.0.1
zone=a
internalPorts=7660,7675
seeds=127.0.0.2:8146
END
sed 's/^zone=a/zone/' "$work/fleet.txt" >"$work/bad.txt"
echo 'host: a1' >"$work/bad.yaml"

expect 0 "fleet.txt: ok" "$daemon" --check "$work/fleet.txt"
expect 3 "bad.txt:4: zone: expected KEY=VALUE" "$daemon" --check "$work/bad.txt"
expect 1 "bad.yaml" "$daemon" --check "$work/bad.yaml"
expect 0 "entry|control|store" "$daemon" --help
for role in entry control store; do
  expect 0 "fleet.txt: ok" "$daemon" "$role" --check --settings "$work/fleet.txt"
  expect 0 "usage: shallotport-fleet" "$daemon" "$role" --help
  expect 2 "usage: shallotport-fleet" "$daemon" "$role" --metrics-port none
done
expect 2 "usage: shallotportd" "$daemon" janitor
echo "1 passed, 0 failed"
