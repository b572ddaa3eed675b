#!/usr/bin/env bash
# Measures batch throughput and harm to the online tail: three hosts and four
# fake runners on loopback, one arm after the other. Options: -s SECONDS of
# each arm, -r online rate, -b burst rate, -o folder for the results, -a arms.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=30 rate=20 burst=0 out= arms="online_alone batch_alone guarded greedy fixed_share"
while getopts s:r:b:o:a: option; do
  case $option in
    s) seconds=$OPTARG ;; r) rate=$OPTARG ;; b) burst=$OPTARG ;; o) out=$OPTARG ;; a) arms=$OPTARG ;;
    *) exit 2 ;;
  esac
done
cmake --preset release >/dev/null
cmake --build --preset release --target shallotportd shallotctl fake_endpoint shallotbench demo_configuration >/dev/null
build=$PWD/build/release
work=$(mktemp -d /tmp/shallotport-bench.XXXXXX)
out=${out:-$work/results}
mkdir -p "$out"
# shellcheck source=util/cluster.sh
. util/cluster.sh
# Ports of its own, so that the demo can run beside it.
host_port() {
  local base
  case $1 in peer) base=22100 ;; caller) base=22200 ;; endpoint) base=22300 ;; operator) base=22400 ;; esac
  echo $((base + $2))
}
trap 'stop_cluster || true; case $out in "$work"/*) ;; *) rm -rf "$work" ;; esac' EXIT

hosts="a1:a:true a2:a:true a3:a:true"
number=0
for host in a1 a2 a3; do
  write_settings "$number" "$host" a "$hosts"
  start_host "$host"
  number=$((number + 1))
done
endpoints=()
for number in 0 1 2 3; do
  start_endpoint "runner-$number" $((22500 + number)) a "0 1 2" assistant \
    --runner --can-resume --slots 8 --ttft-ms 40 --token-ms 15 --token-slope 0.05
  endpoints+=("127.0.0.1:$((22500 + number))")
done
wait_for 20 ctl 0 get

# apply_strategy NAME: puts a configuration with this batch strategy into force.
apply_strategy() {
  "$build/examples/demo_configuration" |
    sed "s/batch_strategy: .*/batch_strategy: $1/; s/requests_per_second: .*/requests_per_second: 1000/" >"$work/$1.yaml"
  ctl 0 apply --author bench "$work/$1.yaml" >/dev/null
  grep -q "batch_strategy: $1" "$work/$1.yaml"
}
callers=$(for number in 0 1 2; do echo "127.0.0.1:$(host_port caller "$number")"; done | paste -sd,)
files=()
for arm in $arms; do
  case $arm in
    online_alone) strategy=guarded items=0 arm_rate=$rate arm_burst=$burst ;;
    batch_alone) strategy=greedy items=20000 arm_rate=0 arm_burst=0 ;;
    *) strategy=$arm items=20000 arm_rate=$rate arm_burst=$burst ;;
  esac
  apply_strategy "$strategy"
  for number in 0 1 2; do wait_for 10 ctl "$number" ready; done
  sleep 3 # Slow start and the configuration's spread are no part of the arm.
  "$build/src/shallotbench/shallotbench" run --arm "$arm" --hosts "$callers" \
    --endpoints "$(IFS=,; echo "${endpoints[*]}")" --token lysberg-token \
    --seconds "$seconds" --rate "$arm_rate" --burst-rate "$arm_burst" --items "$items" \
    --out "$out/$arm.json" >/dev/null || echo "arm $arm failed" >&2
  files+=("$out/$arm.json")
done
"$build/src/shallotbench/shallotbench" report --svg "$out/bench.svg" "${files[@]}"
echo "samples and plot: $out"
