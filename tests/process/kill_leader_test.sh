#!/usr/bin/env bash
# The leader of the replicated log is lost. Calls under new keys work again, and
# every key that was answered before keeps its answer.
. "$(dirname "$0")/common.sh"
start_demo_cluster

declare -A answers
for i in 1 2 3 4 5; do answers[$i]=$(unlock 0 "before-$i"); done
leader=$(leader_by 0)
[ -n "$leader" ] || fail "no leader is known"
kill_host "$leader"
left=()
for number in 0 1 2; do [ "$(number_of "$leader")" = "$number" ] || left+=("$number"); done

new_key_works() { unlock "${left[0]}" after-1 | grep -q '"run":[0-9]'; }
wait_for 30 new_key_works || fail "no call works without $leader: $(unlock "${left[0]}" after-1)"
for i in 1 2 3 4 5; do
  again=$(unlock "${left[1]}" "before-$i")
  [ "$again" = "${answers[$i]}" ] || fail "key before-$i: $again, not ${answers[$i]}"
done
[ "$(unlock_runs 0 1 2)" = 6 ] || fail "6 keys, but $(unlock_runs 0 1 2) runs"
echo "1 passed, 0 failed"
