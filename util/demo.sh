#!/usr/bin/env bash
# Starts three hosts, each in its own failure domain, and fake endpoints on
# loopback; sends a streamed completion, an unlock call and its resend through
# another host, and a small batch job; then stops everything gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
util/setup.sh
cmake --preset release >/dev/null
cmake --build --preset release --target shallotportd shallotctl fake_endpoint demo_configuration >/dev/null
build=$PWD/build/release
work=$(mktemp -d /tmp/shallotport-demo.XXXXXX)
# shellcheck source=util/cluster.sh
. util/cluster.sh
trap 'stop_cluster || true; rm -rf "$work"' EXIT
step() { printf '\n== %s\n' "$1"; }
fail() { printf 'demo: %s\n' "$1" >&2; tail -n 20 "$work"/*.log >&2; exit 1; }

step "three hosts in three failure domains, each with endpoints"
start_three_hosts
for host in a1 b1 c1; do "$daemon_program" --check "$work/$host.yaml"; done
start_endpoints_of a 0
start_endpoints_of b 1
start_endpoints_of c 2

step "a configuration printed by the operators' library"
apply_demo_configuration || fail "the configuration is not in force"
wait_for 10 knows 0 runner-a unlock-a || fail "host a1 knows no endpoints"
wait_for 10 knows 1 runner-b unlock-b || fail "host b1 knows no endpoints"
echo "all hosts are ready"

step "a streamed completion"
stream=$(call 0 /v1/chat/completions -d '{"model":"assistant","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"How do I unlock my lantern?"}]}')
echo "$stream"
grep -q '\[DONE\]' <<<"$stream" || fail "the stream has no end marker"

step "an unlock call and its resend through another host"
first=$(unlock 0 unlock-1)
second=$(unlock 1 unlock-1)
echo "first:  $first"
echo "resend: $second"
[ "$first" = "$second" ] || fail "the resend got another answer"
total=$(unlock_runs 0 1 2)
echo "runs at the three endpoints: $total"
[ "$total" = 1 ] || fail "the unlock call ran $total times"

if [ "${DEMO_BATCH:-1}" = 1 ]; then
  step "a batch job of 20 items"
  for i in $(seq 20); do echo "{\"model\":\"assistant\",\"prompt\":\"summary $i\",\"max_tokens\":3}"; done >"$work/items.jsonl"
  job=$(call 0 "/v1/batches?service=assistant&deadline_ms=60000" -H "Idempotency-Key: nightly-1" --data-binary "@$work/items.jsonl")
  echo "$job"
  id=$(sed -n 's/.*"id":"\([^"]*\)".*/\1/p' <<<"$job")
  [ -n "$id" ] || fail "the job was not accepted"
  job_done() { call 1 "/v1/batches/$id" | grep -q '"phase":"finished"'; }
  wait_for 30 job_done || fail "the job did not end: $(call 1 "/v1/batches/$id")"
  call 2 "/v1/batches/$id"
  results=$(call 2 "/v1/batches/$id/results")
  head -n 3 <<<"$results"
  [ "$(grep -c '"outcome":"done"' <<<"$results")" = 20 ] || fail "not all results are there"
  echo "all 20 results are there"
fi

step "a graceful stop and a second start with all state"
stop_cluster
for host in a1 b1 c1; do start_host "$host"; done
for number in 0 1 2; do wait_for 20 ctl "$number" ready || fail "host $number is not ready again"; done
resend=$(unlock 1 unlock-1)
echo "resend after the restart: $resend"
[ "$first" = "$resend" ] || fail "the recorded answer was lost"
stop_cluster
echo
echo "the demo is complete"
