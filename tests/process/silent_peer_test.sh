#!/usr/bin/env bash
# The leader goes silent (SIGSTOP): its connections stay open and say nothing.
# The others go on within seconds; when it comes back it does no harm.
. "$(dirname "$0")/common.sh"
start_demo_cluster

first=$(unlock 0 before)
leader=$(leader_by 0)
[ -n "$leader" ] || fail "no leader is known"
eval "id=\$pid_$leader"
left=()
for number in 0 1 2; do [ "$(number_of "$leader")" = "$number" ] || left+=("$number"); done
kill -STOP "$id"
new_key_works() { unlock "${left[0]}" during | grep -q '"run":[0-9]'; }
wait_for 30 new_key_works || { kill -CONT "$id"; fail "no call works beside the silent leader"; }
during=$(unlock "${left[1]}" during)
kill -CONT "$id"
old_leader_agrees() { [ "$(unlock "$(number_of "$leader")" during)" = "$during" ] && [ "$(unlock "$(number_of "$leader")" before)" = "$first" ]; }
wait_for 30 old_leader_agrees || fail "the old leader answers $(unlock "$(number_of "$leader")" during), not $during"
[ "$(unlock_runs 0 1 2)" = 2 ] || fail "2 keys, but $(unlock_runs 0 1 2) runs"
echo "1 passed, 0 failed"
