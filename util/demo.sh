#!/usr/bin/env bash
# Starts three hosts, each in its own failure domain, and fake endpoints on
# loopback; sends a streamed completion, an unlock call and its resend through
# another host, and a small batch job; then stops everything gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
util/setup.sh
cmake --preset release >/dev/null
cmake --build --preset release >/dev/null
build=$PWD/build/release
work=$(mktemp -d /tmp/shallotport-demo.XXXXXX)
# shellcheck source=util/cluster.sh
. util/cluster.sh
trap 'stop_cluster || true; rm -rf "$work"' EXIT
step() { printf '\n== %s\n' "$1"; }
fail() { printf 'demo: %s\n' "$1" >&2; tail -n 20 "$work"/*.log >&2; exit 1; }

hosts="a1:a:true b1:b:true c1:c:true"
step "three hosts in three failure domains"
write_settings 0 a1 a "$hosts"
write_settings 1 b1 b "$hosts"
write_settings 2 c1 c "$hosts"
for host in a1 b1 c1; do "$daemon_program" --check "$work/$host.yaml"; start_host "$host"; done
number=0
for domain in a b c; do
  start_endpoint "runner-$domain" $((21500 + number)) $domain $number assistant --runner --can-resume --slots 4 --ttft-ms 30 --token-ms 10
  start_endpoint "unlock-$domain" $((21510 + number)) $domain $number unlock --remembers-outcomes --service-ms 20
  number=$((number + 1))
done

step "a configuration printed by the operators' library"
"$build/examples/demo_configuration" >"$work/configuration.yaml"
wait_for 20 ctl 0 get
ctl 0 apply --author demo "$work/configuration.yaml" || fail "the configuration was not accepted"
for number in 0 1 2; do wait_for 10 ctl "$number" ready || fail "host $number is not ready"; done
ready_endpoints() { ctl "$1" dump | grep -q "runner-$2" && ctl "$1" dump | grep -q "unlock-$2"; }
wait_for 10 ready_endpoints 0 a
wait_for 10 ready_endpoints 1 b
echo "all hosts are ready"

caller=(curl -sS --max-time 20 -H "Authorization: Bearer lysberg-token" -H "Content-Type: application/json")
url() { echo "http://127.0.0.1:$(host_port caller "$1")$2"; }

step "a streamed completion"
stream=$("${caller[@]}" "$(url 0 /v1/chat/completions)" -d '{"model":"assistant","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"How do I unlock my lantern?"}]}')
echo "$stream"
grep -q '\[DONE\]' <<<"$stream" || fail "the stream has no end marker"

step "an unlock call and its resend through another host"
first=$("${caller[@]}" -H "Idempotency-Key: unlock-1" "$(url 0 /v1/services/unlock/issue)" -d '{"lantern":17}')
second=$("${caller[@]}" -H "Idempotency-Key: unlock-1" "$(url 1 /v1/services/unlock/issue)" -d '{"lantern":17}')
echo "first:  $first"
echo "resend: $second"
[ "$first" = "$second" ] || fail "the resend got another answer"
runs=$(for number in 0 1 2; do curl -sS "http://127.0.0.1:$((21510 + number))/control/runs"; echo; done)
total=$(grep -o '"started":[0-9]*' <<<"$runs" | awk -F: '{sum += $2} END {print sum + 0}')
echo "runs at the three endpoints: $total"
[ "$total" = 1 ] || fail "the unlock call ran $total times"

if [ "${DEMO_BATCH:-1}" = 1 ]; then
  step "a batch job of 20 items"
  for i in $(seq 20); do echo "{\"model\":\"assistant\",\"prompt\":\"summary $i\",\"max_tokens\":3}"; done >"$work/items.jsonl"
  job=$("${caller[@]}" -H "Idempotency-Key: nightly-1" "$(url 0 "/v1/batches?service=assistant&deadline_ms=60000")" --data-binary "@$work/items.jsonl")
  echo "$job"
  id=$(sed -n 's/.*"id":"\([^"]*\)".*/\1/p' <<<"$job")
  [ -n "$id" ] || fail "the job was not accepted"
  job_done() { "${caller[@]}" "$(url 1 "/v1/batches/$id")" | grep -q '"phase":"finished"'; }
  wait_for 30 job_done || fail "the job did not end: $("${caller[@]}" "$(url 1 "/v1/batches/$id")")"
  "${caller[@]}" "$(url 2 "/v1/batches/$id")"; echo
  results=$("${caller[@]}" "$(url 2 "/v1/batches/$id/results")")
  head -n 3 <<<"$results"
  [ "$(grep -c '"outcome":"done"' <<<"$results")" = 20 ] || fail "not all results are there"
  echo "all 20 results are there"
fi

step "a graceful stop and a second start with all state"
stop_cluster
for host in a1 b1 c1; do start_host "$host"; done
wait_for 20 ctl 0 ready
wait_for 20 ctl 1 ready
resend=$("${caller[@]}" -H "Idempotency-Key: unlock-1" "$(url 1 /v1/services/unlock/issue)" -d '{"lantern":17}')
echo "resend after the restart: $resend"
[ "$first" = "$resend" ] || fail "the recorded answer was lost"
stop_cluster
echo
echo "the demo is complete"
