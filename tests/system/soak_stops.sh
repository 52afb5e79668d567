#!/usr/bin/env bash
# SIGTERM to the soak while runs are going on ends all that it started and names the seeds that were not finished.
set -eu
build=$(cd "$1" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
folder=$(mktemp -d)
stop_time=4 # seconds

fail() {
  echo "FAIL: $*" >&2
  cat "$folder"/*.out >&2
  exit 1
}
started() { pgrep -f -- "$folder/$1.logs" || true; } # all processes of a soak name its folder

# in_time WHAT CONDITION...: waits for a condition.
in_time() {
  local what=$1 until=$((SECONDS + 60))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$until" ] || fail "$what: not in time"
    sleep 0.05
  done
}
traffic_flows() { [ "$(grep -ls 'all entries are ready' "$folder/$1".logs/*/soak.log | wc -l)" -ge "$2" ]; }
# shellcheck disable=SC2317 # called by the trap
clean_up() {
  local name
  for name in runs regressions; do
    # shellcheck disable=SC2046 # one word for each process
    [ -z "$(started "$name")" ] || kill -KILL $(started "$name") || true
  done
  rm -rf "$folder"
}
trap clean_up EXIT

# check NAME RUNNING UNFINISHED OPTIONS...: stops a soak once that many runs have traffic.
check() {
  local name=$1 running=$2 unfinished=$3 soak begun
  shift 3
  BUILD=$build scripts/soak-processes "$@" --logs "$folder/$name.logs" --entries 2 --engines 2 --services 1 --callers 8 \
    >"$folder/$name.out" 2>&1 &
  soak=$!
  in_time "traffic of $name" traffic_flows "$name" "$running"
  begun=$SECONDS
  kill -TERM "$soak"
  until ! kill -0 "$soak" 2>/dev/null; do
    [ $((SECONDS - begun)) -le "$stop_time" ] || fail "$name: still running $stop_time s after SIGTERM"
    sleep 0.05
  done
  ! wait "$soak" || fail "$name: exit status 0"
  [ -z "$(started "$name")" ] || fail "$name: left running: $(pgrep -af -- "$folder/$name.logs")"
  grep -qx "seeds not finished: $unfinished" "$folder/$name.out" || fail "$name: the unfinished seeds are not named"
  ! grep -q Traceback "$folder/$name.out" || fail "$name: trace of an exception"
}

check runs 2 "1, 2, 3" --seed 1 --runs 3 --jobs 2 --seconds 60
first=$(grep -v '^#' tests/soak/regressions.txt | cut -d' ' -f1 | sort -u | head -1)
check regressions 1 "$(grep "^$first " tests/soak/regressions.txt | cut -d' ' -f2 | paste -sd, | sed 's/,/, /g')" \
  --regressions --jobs 1 --seconds 60
