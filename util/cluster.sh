# Functions that start hosts and fake endpoints on loopback. Sourced by the
# demo and by the experiments; every process started here is ended by its id.
#
# Callers set: build (folder of the programs), work (a fresh folder).
# shellcheck shell=bash

cluster_pids=()
operator_token=demo-operator
endpoint_token=demo-endpoint
shallotport_programs() { printf '%s/src/%s/%s' "$build" "$1" "$2"; }
daemon_program=$(shallotport_programs shallotportd shallotportd)
ctl_program=$(shallotport_programs shallotctl shallotctl)
fake_program=$(shallotport_programs fakes fake_endpoint)

# Ports from here to port_base + 999 are used.
port_base=${SHALLOTPORT_PORT_BASE:-21000}

# Port of one interface of host number $2: peer, caller, endpoint, operator; or
# of endpoint number $2: runner, plain.
host_port() {
  local offset
  case $1 in
    peer) offset=100 ;; caller) offset=200 ;; endpoint) offset=300 ;; operator) offset=400 ;;
    runner) offset=500 ;; plain) offset=600 ;;
  esac
  echo $((port_base + offset + $2))
}

# write_settings NUMBER HOST DOMAIN "HOST:DOMAIN:CONTROL ..." - all hosts in order.
write_settings() {
  local number=$1 host=$2 domain=$3 hosts=$4 i=0 entry
  {
    echo "host: $host"
    echo "domain: $domain"
    echo "data_folder: $work/$host"
    echo "peer_address: 127.0.0.1:$(host_port peer "$number")"
    echo "caller_lane: {address: \"127.0.0.1:$(host_port caller "$number")\"}"
    echo "endpoint_lane: {address: \"127.0.0.1:$(host_port endpoint "$number")\"}"
    echo "operator_lane: {address: \"127.0.0.1:$(host_port operator "$number")\"}"
    echo "operator_token: $operator_token"
    echo "endpoint_token: $endpoint_token"
    echo "drain_notice_ms: 200"
    echo "peers:"
    for entry in $hosts; do
      IFS=: read -r peer peer_domain control <<<"$entry"
      echo "  - {host: $peer, domain: $peer_domain, address: \"127.0.0.1:$(host_port peer $i)\", control: $control, caller_address: \"127.0.0.1:$(host_port caller $i)\"}"
      i=$((i + 1))
    done
  } >"$work/$host.yaml"
}

start_host() {
  "$daemon_program" --settings "$work/$1.yaml" 2>>"$work/$1.log" &
  cluster_pids+=($!)
  eval "pid_$1=$!"
}

# start_endpoint ID PORT DOMAIN HOST_NUMBERS SERVICES [option...]
start_endpoint() {
  local id=$1 port=$2 domain=$3 numbers=$4 services=$5 announce=() number
  shift 5
  for number in $numbers; do announce+=("127.0.0.1:$(host_port endpoint "$number")"); done
  "$fake_program" --id "$id" --listen "127.0.0.1:$port" --domain "$domain" \
    --announce "$(IFS=,; echo "${announce[*]}")" --token "$endpoint_token" \
    --services "$services" --linger-ms 200 "$@" 2>>"$work/$id.log" >>"$work/$id.log" &
  cluster_pids+=($!)
  eval "pid_${id//-/_}=$!"
}

ctl() {
  local number=$1
  shift
  "$ctl_program" --host "127.0.0.1:$(host_port operator "$number")" --token "$operator_token" "$@"
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
  local tries=$(($1 * 10))
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then
      echo "gave up waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# start_three_hosts: a1, b1 and c1 in domains a, b and c, all control members.
start_three_hosts() {
  local hosts="a1:a:true b1:b:true c1:c:true"
  write_settings 0 a1 a "$hosts"
  write_settings 1 b1 b "$hosts"
  write_settings 2 c1 c "$hosts"
  start_host a1
  start_host b1
  start_host c1
}

# start_endpoints_of DOMAIN NUMBER: a runner and an unlock service.
start_endpoints_of() {
  start_endpoint "runner-$1" "$(host_port runner "$2")" "$1" "$2" assistant --runner --can-resume --slots 4 --ttft-ms 30 --token-ms 10
  start_endpoint "unlock-$1" "$(host_port plain "$2")" "$1" "$2" unlock --remembers-outcomes --service-ms 20
}

# Puts the demo's configuration into force and waits until all hosts have it.
apply_demo_configuration() {
  local number
  "$build/examples/demo_configuration" >"$work/configuration.yaml"
  wait_for 30 ctl 0 get
  ctl 0 apply --author demo "$work/configuration.yaml"
  for number in 0 1 2; do wait_for 20 ctl "$number" ready; done
}

# knows HOST_NUMBER ENDPOINT...: whether the host has heard of the endpoints.
knows() {
  local number=$1 state endpoint
  shift
  state=$(ctl "$number" dump) || return 1
  for endpoint in "$@"; do grep -q "\"$endpoint\"" <<<"$state" || return 1; done
}

url() { echo "http://127.0.0.1:$(host_port caller "$1")$2"; }

# call HOST_NUMBER PATH [curl option...]: a request of the demo's account.
call() {
  local target
  target=$(url "$1" "$2")
  shift 2
  curl -sS --max-time 30 -H "Authorization: Bearer lysberg-token" -H "Content-Type: application/json" "$@" "$target"
}

# unlock HOST_NUMBER KEY: a non-idempotent call.
unlock() { call "$1" /v1/services/unlock/issue -H "Idempotency-Key: $2" -d '{"lantern":17}'; }

# Sum of the executions that the unlock endpoints have started.
unlock_runs() {
  local number
  for number in "$@"; do curl -sS --max-time 5 "http://127.0.0.1:$(host_port plain "$number")/control/runs"; echo; done |
    grep -o '"started":[0-9]*' | awk -F: '{sum += $2} END {print sum + 0}'
}

# kill_host NAME: as if the machine were lost.
kill_host() {
  local id
  eval "id=\$pid_$1"
  kill -KILL "$id"
  wait "$id" 2>/dev/null || true
}

# Ends everything that was started here: SIGTERM, then a bounded wait.
stop_cluster() {
  local pid
  for pid in "${cluster_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${cluster_pids[@]}"; do wait_for_end "$pid"; done
  cluster_pids=()
}

# Waits up to 20 s for a child of this shell, then kills it.
wait_for_end() {
  local pid=$1 tries=200
  while kill -0 "$pid" 2>/dev/null && [ "$tries" -gt 0 ]; do
    sleep 0.1
    tries=$((tries - 1))
  done
  if [ "$tries" -eq 0 ]; then
    echo "process $pid did not end in 20 s" >&2
    kill -KILL "$pid" 2>/dev/null || true
  fi
  wait "$pid" 2>/dev/null
}
