#!/usr/bin/env bash
# A host is lost right after it acknowledged an unlock call and a batch job. The
# resend at another host gets the recorded answer, and the job is still there.
. "$(dirname "$0")/common.sh"
start_demo_cluster

first=$(unlock 0 key-1)
job=$(call 0 "/v1/batches?service=assistant&deadline_ms=600000" -H "Idempotency-Key: job-1" --data-binary $'{"prompt":"a"}\n{"prompt":"b"}\n')
kill_host a1
grep -q '"run":[0-9]' <<<"$first" || fail "no answer to the first call: $first"
id=$(sed -n 's/.*"id":"\([^"]*\)".*/\1/p' <<<"$job")
[ -n "$id" ] || fail "the job was not accepted: $job"

same_answer() { [ "$(unlock 1 key-1)" = "$first" ]; }
wait_for 20 same_answer || fail "the resend got: $(unlock 1 key-1), not $first"
job_there() { call 2 "/v1/batches/$id" | grep -q '"total":2'; }
wait_for 20 job_there || fail "the acknowledged job is lost: $(call 2 "/v1/batches/$id")"
again=$(call 1 "/v1/batches?service=assistant&deadline_ms=600000" -H "Idempotency-Key: job-1" --data-binary $'{"prompt":"a"}\n{"prompt":"b"}\n')
grep -q "\"id\":\"$id\"" <<<"$again" || fail "the resent job became another one: $again"
[ "$(unlock_runs 0 1 2)" = 1 ] || fail "the unlock call ran $(unlock_runs 0 1 2) times"
echo "1 passed, 0 failed"
