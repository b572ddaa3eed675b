# Sourced by the process tests; $1 is the folder of the built programs.
# shellcheck shell=bash
set -euo pipefail
build=$1
work=$(mktemp -d /tmp/shallotport-test.XXXXXX)
# shellcheck source=../../util/cluster.sh
. "$(dirname "${BASH_SOURCE[0]}")/../../util/cluster.sh"
trap 'stop_cluster || true; rm -rf "$work"' EXIT

fail() {
  printf 'FAILED: %s\n' "$1" >&2
  tail -n 15 "$work"/*.log >&2 || true
  exit 1
}

start_demo_cluster() {
  start_three_hosts
  start_endpoints_of a 0
  start_endpoints_of b 1
  start_endpoints_of c 2
  apply_demo_configuration || fail "the configuration is not in force"
  wait_for 20 knows 0 runner-a unlock-a || fail "a1 knows no endpoints"
  wait_for 20 knows 1 runner-b unlock-b || fail "b1 knows no endpoints"
  wait_for 20 knows 2 runner-c unlock-c || fail "c1 knows no endpoints"
}

# The name of the host that leads the replicated log, as host number $1 sees it.
leader_by() { ctl "$1" dump | sed -n 's/.*"leader": "\([^"]*\)".*/\1/p' | head -n 1; }
number_of() { case $1 in a1) echo 0 ;; b1) echo 1 ;; c1) echo 2 ;; esac; }
