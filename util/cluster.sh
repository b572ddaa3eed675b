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

# Port of one interface of host number $2: peer, caller, endpoint, operator.
host_port() {
  local base
  case $1 in peer) base=21100 ;; caller) base=21200 ;; endpoint) base=21300 ;; operator) base=21400 ;; esac
  echo $((base + $2))
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
