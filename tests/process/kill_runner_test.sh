#!/usr/bin/env bash
# A runner is lost with streams in flight. Every caller gets its whole answer,
# the same text that an undisturbed runner gives.
. "$(dirname "$0")/common.sh"
start_demo_cluster
start_endpoint runner-a2 "$(host_port runner 10)" a 0 assistant --runner --can-resume --slots 8 --ttft-ms 30 --token-ms 10
wait_for 20 knows 0 runner-a2 || fail "a1 does not know the second runner"

ask() { call 0 /v1/completions -d "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":100,\"prompt\":\"question $1\"}"; }
text_of() { grep -o '"text":"[^"]*"' <<<"$1" | tr -d '\n'; }
clients=()
for i in 1 2 3 4 5 6; do ask "$i" >"$work/stream-$i" & clients+=($!); done
both_work() { grep -q text "$work/stream-1" && grep -q text "$work/stream-6"; }
wait_for 10 both_work || fail "the streams did not start"
kill -KILL "$pid_runner_a"
for client in "${clients[@]}"; do wait "$client" || fail "a caller's connection was cut"; done
for i in 1 2 3 4 5 6; do
  stream=$(cat "$work/stream-$i")
  grep -q '\[DONE\]' <<<"$stream" || fail "stream $i has no end: $(tail -n 3 <<<"$stream")"
  [ "$(grep -c '"text"' <<<"$stream")" = 100 ] || fail "stream $i has $(grep -c '"text"' <<<"$stream") tokens"
  whole=$(call 1 /v1/completions -d "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":100,\"prompt\":\"question $i\"}")
  [ "$(text_of "$stream")" = "$(text_of "$whole")" ] || fail "stream $i has another text"
done
echo "1 passed, 0 failed"
