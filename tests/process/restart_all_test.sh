#!/usr/bin/env bash
# Hundreds of changes, then a restart of each host and of all at once: the
# revision, the recorded answers and the jobs are all there.
. "$(dirname "$0")/common.sh"
start_demo_cluster

first=$(unlock 0 kept)
before_last=
for i in $(seq 100); do
  [ "$i" = 100 ] && before_last=$(ctl 0 get | sed -n 's/^# revision //p')
  sed "s/requests_per_second: [0-9]*/requests_per_second: $((100 + i))/" "$work/configuration.yaml" >"$work/next.yaml"
  ctl $((i % 3)) apply --change-id "change-$i" "$work/next.yaml" >"$work/applied" || fail "change $i: $(cat "$work/applied")"
done
revision=$(ctl 0 get | sed -n 's/^# revision //p')
for host in a1 b1 c1; do
  eval "id=\$pid_$host"
  kill -TERM "$id"
  wait "$id" || fail "$host did not end gracefully"
  start_host "$host"
  wait_for 30 ctl "$(number_of "$host")" ready || fail "$host is not ready again"
done
for host in a1 b1 c1; do kill_host "$host"; done
for host in a1 b1 c1; do start_host "$host"; done
for number in 0 1 2; do wait_for 30 ctl "$number" ready || fail "host $number is not ready after all were lost"; done
now=$(ctl 1 get)
grep -q "^# revision $revision\$" <<<"$now" || fail "revision $revision became $(head -n 1 <<<"$now")"
grep -q "requests_per_second: 200" <<<"$now" || fail "the last change is not in force"
# A resend of the last accepted change gets its first outcome.
repeated=$(ctl 2 apply --expected-revision "$before_last" --change-id change-100 "$work/next.yaml" 2>&1) || fail "the resent change: $repeated"
grep -q "^revision $revision is accepted" <<<"$repeated" || fail "the resent change: $repeated"
same_answer() { [ "$(unlock 2 kept)" = "$first" ]; }
wait_for 20 same_answer || fail "the recorded answer is lost"
[ "$(unlock_runs 0 1 2)" = 1 ] || fail "the unlock call ran $(unlock_runs 0 1 2) times"
echo "1 passed, 0 failed"
