#!/usr/bin/env bash
# SIGTERM under load: no request is cut off; whatever is refused is marked as not
# run; the process ends with status 0.
. "$(dirname "$0")/common.sh"
start_demo_cluster

# One client: requests one after the other until the host no longer listens.
client() {
  local i code
  for i in $(seq 200); do
    code=0
    call 0 /v1/completions -o "$work/body-$1-$i" -D "$work/head-$1-$i" \
      -d "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":20,\"prompt\":\"$1 $i\"}" 2>/dev/null || code=$?
    echo "$code" >"$work/code-$1-$i"
    [ "$code" -ne 7 ] || return 0
  done
}
clients=()
for i in 1 2 3 4; do client "$i" & clients+=($!); done
under_load() { [ -e "$work/code-1-3" ]; }
wait_for 20 under_load || fail "no load"
kill -TERM "$pid_a1"
status=0
wait "$pid_a1" || status=$?
[ "$status" = 0 ] || fail "the host ended with status $status"
for client in "${clients[@]}"; do wait "$client"; done

whole=0 refused=0
for code in "$work"/code-*; do
  request=${code#"$work/code-"}
  case $(cat "$code") in
    7) continue ;; # Connection refused: nothing was accepted.
    0) ;;
    *) fail "request $request was cut off (curl $(cat "$code"))" ;;
  esac
  if grep -q '\[DONE\]' "$work/body-$request"; then
    whole=$((whole + 1))
  elif grep -qi '^x-not-run: 1' "$work/head-$request"; then
    refused=$((refused + 1))
  else
    fail "request $request is neither whole nor refused: $(cat "$work/body-$request")"
  fi
done
echo "$whole whole, $refused refused as not run"
[ "$whole" -ge 4 ] || fail "only $whole requests were answered"
echo "1 passed, 0 failed"
