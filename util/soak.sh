#!/usr/bin/env bash
# Runs the fault soak: a fleet of real programs on loopback under faults that
# are drawn from a seed, with its promises checked meanwhile. Ends at the first
# seed that breaks one; its logs stay in build/soak/SEED. Promises that
# KNOWN-RED.txt names ("test: soak: PROMISE") are passed over and printed.
#   util/soak.sh --seed N --minutes M   one run
#   --runs K     seeds N to N + K - 1, one after the other
#   --jobs J     so many of them at a time (default 1)
#   --large      as many processes as the limits allow
#   --kept       the seeds of platform/tests/soak/kept_seeds.txt
#   --program F  another build of shallotport-fleet, for comparisons
#   --earlier F  half of the hosts run this build until they start again
#   --odd KINDS, --no-hold-ups, --power-loss, --account, --busy K   see docs/SOAK.md
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1 minutes=1 runs=1 jobs=1 kept=0 program= earlier=
size=() troubles=()
usage() { sed -n '2,13s/^# \{0,1\}//p' "$0" >&2; exit 2; }
while [ "$#" -gt 0 ]; do
  case $1 in
    --seed | --minutes | --runs | --jobs | --program | --earlier)
      [ "$#" -ge 2 ] || usage
      printf -v "${1#--}" '%s' "$2"
      shift 2
      ;;
    --large) size=(--control 9 --stores 16 --entries 60 --endpoints 40 --rate 200); shift ;;
    --odd | --busy)
      [ "$#" -ge 2 ] || usage
      troubles+=("$1" "$2")
      shift 2
      ;;
    --no-hold-ups | --power-loss | --account) troubles+=("$1"); shift ;;
    --kept) kept=1; shift ;;
    *) usage ;;
  esac
done
cmake --preset release >/dev/null
cmake --build --preset release --target fleet_soak shallotport-fleet >/dev/null
export seconds program
seconds=$(awk -v minutes="$minutes" 'BEGIN { printf "%d", minutes * 60 }')
program=${program:-$PWD/build/release/shallotport-fleet}
mkdir -p build/soak

[ -z "$earlier" ] || size+=(--earlier-program "$earlier")

# The promises that a run broke, one a line.
broken() { sed -n 's/.* ms: BROKEN \([^:]*\): .*/\1/p' "$1"; }
known_red=$(sed -n 's/^test: soak: //p' KNOWN-RED.txt)
export known_red

run_one() {
  local number=$1 log=build/soak/$1.log code=0
  shift
  build/release/platform/tests/soak/fleet_soak --program "$program" --folder "build/soak/$number" --seed "$number" \
    --seconds "$seconds" --port $((21000 + number % 1000 * 10)) "$@" >"$log" 2>&1 || code=$?
  if [ "$code" = 0 ]; then
    tail -n 1 "$log"
    rm -rf "build/soak/$number"
    return 0
  fi
  grep BROKEN "$log" || tail -n 5 "$log"
  # Exit code 1: promises were broken. Without a list, or a promise in the log,
  # the run counts as red.
  if [ "$code" = 1 ] && [ -n "$known_red" ] && broken "$log" | grep -q . &&
    ! broken "$log" | grep -qvxF "$known_red"; then
    echo "seed $number: KNOWN RED, see KNOWN-RED.txt and $log"
    return 0
  fi
  echo "seed $number: red, see $log"
  return 1
}
export -f run_one broken

if [ "$kept" = 1 ]; then
  mapfile -t seeds < <(awk '!/^#/ && NF { print $1 }' platform/tests/soak/kept_seeds.txt)
else
  mapfile -t seeds < <(seq "$seed" $((seed + runs - 1)))
fi
# An exit code of 255 keeps xargs from starting more.
printf '%s\n' "${seeds[@]}" | xargs -r -P "$jobs" -I{} bash -c 'run_one "$@" || exit 255' _ {} "${size[@]}" "${troubles[@]}"
