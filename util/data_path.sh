#!/usr/bin/env bash
# Compares the two data paths under one load on this machine: shallotportd
# (threads that wait) and the entry role of shallotport-fleet (an event loop).
# Three hosts each, streams of 7 events, the same number of requests a second.
#   util/data_path.sh [REQUESTS_PER_SECOND [SECONDS]]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-60} seconds=${2:-30}
cmake --preset release >/dev/null
cmake --build --preset release --target shallotportd shallotctl fake_endpoint shallotbench demo_configuration \
  fleet_soak shallotport-fleet >/dev/null
build=$PWD/build/release
work=$(mktemp -d /tmp/shallotport-path.XXXXXX)
# shellcheck source=util/cluster.sh
. util/cluster.sh
soak_id=
trap 'stop_cluster || true; [ -z "$soak_id" ] || { kill "$soak_id" 2>/dev/null || true; wait "$soak_id" || true; }; rm -rf "$work"' EXIT

# cost ID...: processor milliseconds, context switches, largest resident kB and
# threads of these processes.
cost() {
  local id
  for id in "$@"; do
    awk '{ print "ms", ($14 + $15) * 10 }' "/proc/$id/stat"
    cat "/proc/$id"/task/*/status | awk '/ctxt_switches/ { print "switches", $2 }'
    awk '/VmHWM/ { print "kB", $2 } /^Threads/ { print "threads", $2 }' "/proc/$id/status"
  done | awk '$1 == "ms" || $1 == "switches" { sum[$1] += $2 }
              $1 == "kB" || $1 == "threads" { if ($2 > sum[$1]) sum[$1] = $2 }
              END { print sum["ms"], sum["switches"], sum["kB"], sum["threads"] }'
}
# report NAME "BEFORE" "AFTER" REQUESTS
report() {
  awk -v name="$1" -v requests="$4" '{ printf "%s: %.2f ms of processor time and %.1f context switches a request, %.1f MB, %d threads (%d requests)\n",
    name, ($5 - $1) / requests, ($6 - $2) / requests, $7 / 1024, $8, requests }' <<<"$2 $3"
}

number=0
hosts="a1:a:true a2:a:true a3:a:true"
for host in a1 a2 a3; do
  write_settings "$number" "$host" a "$hosts"
  start_host "$host"
  number=$((number + 1))
done
endpoints=()
for number in 0 1 2 3; do
  start_endpoint "runner-$number" $((port_base + 500 + number)) a "0 1 2" assistant \
    --runner --can-resume --slots 16 --ttft-ms 30 --token-ms 15 --token-slope 0
  endpoints+=("127.0.0.1:$((port_base + 500 + number))")
done
wait_for 20 ctl 0 get
"$build/examples/demo_configuration" | sed "s/requests_per_second: .*/requests_per_second: 1000/" >"$work/load.yaml"
ctl 0 apply --author trial "$work/load.yaml" >/dev/null
for number in 0 1 2; do wait_for 10 ctl "$number" ready; done
sleep 3
# shellcheck disable=SC2154
daemons=("$pid_a1" "$pid_a2" "$pid_a3")
before=$(cost "${daemons[@]}")
callers=$(for number in 0 1 2; do echo "127.0.0.1:$(host_port caller "$number")"; done | paste -sd,)
"$build/src/shallotbench/shallotbench" run --arm online --hosts "$callers" \
  --endpoints "$(IFS=,; echo "${endpoints[*]}")" --token lysberg-token --seconds "$seconds" --rate "$rate" \
  --tokens 7 --out "$work/online.json" >/dev/null
report "threads (shallotportd)" "$before" "$(cost "${daemons[@]}")" $((rate * seconds))
stop_cluster

"$build/platform/tests/soak/fleet_soak" --program "$build/shallotport-fleet" --folder "$work/fleet" --calm --kind stream \
  --control 3 --stores 3 --entries 3 --endpoints 4 --rate "$rate" --seconds $((seconds + 10)) >"$work/soak.log" &
soak_id=$!
sleep 5
mapfile -t entries < <(pgrep -f "$work/fleet/entry-")
before=$(cost "${entries[@]}")
sleep "$seconds"
report "event loop (shallotport-fleet entry)" "$before" "$(cost "${entries[@]}")" $((rate * seconds))
