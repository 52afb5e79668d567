# Shared by the system tests: each gets the build folder as $1 and exits non-zero on failure.
set -euo pipefail
build=$(cd "$1" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
. scripts/cluster.sh
cluster_begin

key=test-key

# small_cluster ENTRIES ENGINES [engine options]: platform, pool "m", an agent beside each engine.
small_cluster() {
  local entry_count=$1 engine_count=$2 index; shift 2
  start_platform
  put_account shop "$key" 0
  put_record pool m '{"kind":"completion","start_within_ms":20000,"end_within_ms":60000}'
  put_record pool orders '{"kind":"service","start_within_ms":5000,"end_within_ms":20000,"once_routes":["/new"]}'
  for ((index = 0; index < engine_count; index++)); do
    start_standin "engine$index" fake-engine "$@"
    start_agent "agent$index" engine "$(standin_address "engine$index")" m v1
  done
  for ((index = 0; index < entry_count; index++)); do
    start_entry "entry$index"
  done
  for ((index = 0; index < entry_count; index++)); do
    wait_for "entry$index is ready" entry_ready "entry$index"
    wait_for "entry$index serves" serves "entry$index" "$key" m
  done
}

# add_service: a plain service with its agent, in pool "orders".
add_service() {
  start_standin service fake-service "$@"
  start_agent service-agent service "$(standin_address service)" orders v1
  wait_for "the service is reachable" service_answers
}
service_answers() {
  [ "$(post "$(entry_address entry0)" /services/orders/status '{}' -H "Authorization: Bearer $key" \
    -o /dev/null -w '%{http_code}')" = 200 ]
}

# same WHAT EXPECTED ACTUAL
same() { [ "$2" = "$3" ] || fail "$1: expected $2, got $3"; }
# at_least WHAT LEAST ACTUAL
at_least() { [ "$3" -ge "$2" ] || fail "$1: expected at least $2, got $3"; }

# load NAME [options]: runs caraway-load; its result is $run/NAME.json, its outcomes $run/NAME.outcomes.
load() {
  local name=$1; shift
  "$build/caraway-load" --key "$key" --model m --json "$run/$name.json" \
    --outcomes "$run/$name.outcomes" "$@" >"$run/$name.out" 2>&1 || true
  [ -s "$run/$name.json" ] || fail "the load tool gave no result: $(cat "$run/$name.out")"
}
result() { jq -r "$2" "$run/$1.json"; }

# not_run_arrivals NAME STANDIN...: requests that were told "not run" and reached an endpoint.
not_run_arrivals() {
  local name=$1 standin; shift
  for standin in "$@"; do count "$standin" '.by_request | keys[]'; done | sort -u >"$run/arrived"
  awk '$4 == "not_run" { print $1 }' "$run/$name.outcomes" | sort | comm -12 - "$run/arrived" | wc -l
}

# Invariant violations that a daemon counted.
violations() { get "$(daemon_address "$1" admin)" /metrics | awk '/^caraway_violations_total/ { sum += $2 } END { print sum + 0 }'; }
running() { count "$1" '.running + .waiting'; }
is_idle() { [ "$(running "$1")" = 0 ]; }
