# Shell functions that start and stop a small cluster on 127.0.0.1: sourced by scripts/demo,
# scripts/capacity and tests/system. Every process has a name; its files are $run/NAME.*.
# The caller sets $build, calls cluster_begin, and everything started is stopped when the shell ends.

readonly kPatienceSeconds=30   # an awaited event that takes longer is a failure
readonly kClusterKey=000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
declare -A pids=()             # by name of the process

say() { printf '%s\n' "$*" >&2; }
fail() { say "FAILED: $*"; exit 1; }

# Makes the folder for the processes' files.
cluster_begin() {
  run=$(mktemp -d "${TMPDIR:-/tmp}/carawayline.XXXXXX")
  trap cluster_end EXIT
  trap 'exit 130' INT TERM
}

# Stops what still runs, by process id, and removes the files.
cluster_end() {
  local status=$? name
  trap - EXIT
  if [ $status -ne 0 ] && [ -n "${SHOW_LOGS:-1}" ]; then
    for name in "${!pids[@]}"; do
      say "--- last lines of $name"; tail -n 5 "$run/$name.log" >&2 2>/dev/null || true
    done
  fi
  if [ -n "${KEEP_RUN:-}" ]; then say "files kept in $run"; fi
  exec 2>/dev/null # the shell reports killed jobs
  for name in "${!pids[@]}"; do kill -9 "${pids[$name]}" || true; done
  wait || true
  [ -n "${KEEP_RUN:-}" ] || rm -rf "$run"
  exit $status
}

# start NAME COMMAND...: runs the command in the background.
start() {
  local name=$1; shift
  "$@" >>"$run/$name.log" 2>&1 &
  pids[$name]=$!
}

# stop NAME [SIGNAL]: signals the process and waits for its end; its exit status is $stopped.
stop() {
  local pid=${pids[$1]}
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  stopped=0; wait "$pid" 2>/dev/null || stopped=$?
  unset "pids[$1]"
}

# wait_for WHAT COMMAND...: repeats the command until it succeeds.
wait_for() {
  local what=$1 end=$((SECONDS + kPatienceSeconds)); shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || fail "waited ${kPatienceSeconds} s for: $what"
    sleep 0.05
  done
}

# get ADDRESS PATH, post ADDRESS PATH BODY [curl options]: print the body of the answer.
get() { curl -sS --noproxy '*' --max-time 10 "http://$1$2"; }
post() {
  local address=$1 path=$2 body=$3; shift 3
  curl -sS --noproxy '*' --max-time 60 -H 'Content-Type: application/json' --data-binary "$body" "$@" "http://$address$path"
}

# Port of a stand-in, from its port file; addresses of a daemon, from its event "started".
standin_up() { [ -s "$run/$1.port" ]; }
standin_address() { echo "127.0.0.1:$(cat "$run/$1.port")"; }
daemon_up() { grep -q 'event=started' "$run/$1.log"; }
daemon_address() { # NAME listen|peer_listen|admin
  grep 'event=started' "$run/$1.log" | tail -n 1 | tr ' ' '\n' | sed -n "s/^$2=//p"
}

# start_standin NAME PROGRAM [options]
start_standin() {
  local name=$1 program=$2; shift 2
  rm -f "$run/$name.port"
  start "$name" "$build/$program" --listen 127.0.0.1:0 --port-file "$run/$name.port" "$@"
  wait_for "$name listens" standin_up "$name"
}

start_platform() {
  start_standin platform fake-platform
  platform=$(standin_address platform)
}

# put_record KIND NAME BODY: appends a configuration record that replaces nothing.
put_record() {
  local record
  record=$(jq -cn --arg kind "$1" --arg name "$2" --argjson body "$3" --arg change "$1-$2-$RANDOM$RANDOM" \
    '{schema_version: 2, kind: $kind, name: $name, change_id: $change, base_revision: null, body: $body}')
  post "$platform" /v1/append "$(jq -cn --arg record "$record" '{records: [$record]}')" >/dev/null
}

# put_account NAME KEY HIGHEST_TIER
put_account() {
  local hash; hash=$(printf %s "$2" | sha256sum | cut -d' ' -f1)
  put_record account "$1" "{\"key_hashes\":[\"$hash\"],\"highest_tier\":$3}"
}

# put_vm NAME ROLE ADDRESS STATE [POOL VERSION]
put_vm() {
  post "$platform" /v1/vms "{\"name\":\"$1\",\"role\":\"$2\",\"address\":\"${3%:*}\",\"port\":${3##*:},\"region\":\"local\",
    \"failure_domain\":\"local-a\",\"pool\":\"${5:-}\",\"version\":\"${6:-}\",\"state\":\"$4\"}" >/dev/null
}

# Settings that every daemon needs.
common_settings() {
  echo "\"name\":\"$1\",\"region\":\"local\",\"failure_domain\":\"local-a\",\"platform\":\"$platform\",
    \"admin\":\"127.0.0.1:0\",\"cluster_key\":\"$kClusterKey\",\"log_level\":\"${LOG_LEVEL:-info}\""
}

# start_agent NAME KIND ENDPOINT POOL VERSION [OPTIONS-JSON]; $AGENT_SETTINGS: ,"name":value...
start_agent() {
  echo "{$(common_settings "$1"),\"listen\":\"127.0.0.1:0\",\"endpoint\":\"$3\",\"endpoint_kind\":\"$2\",
    \"pool\":\"$4\",\"version\":\"$5\",\"options\":${6:-{\}}${AGENT_SETTINGS:-}}" >"$run/$1.json"
  rm -f "$run/$1.log"
  start "$1" "$build/caraway-agent" "$run/$1.json"
  wait_for "$1 listens" daemon_up "$1"
  put_vm "$1" agent "$(daemon_address "$1" listen)" live "$4" "$5"
}

# start_entry NAME [OPTIONS-JSON]; $ENTRY_SETTINGS: ,"name":value...
start_entry() {
  echo "{$(common_settings "$1"),\"listen\":\"127.0.0.1:0\",\"peer_listen\":\"127.0.0.1:0\",\"options\":${2:-{\}}${ENTRY_SETTINGS:-}}" >"$run/$1.json"
  rm -f "$run/$1.log"
  start "$1" "$build/caraway-entry" "$run/$1.json"
  wait_for "$1 listens" daemon_up "$1"
  put_vm "$1" entry "$(daemon_address "$1" peer_listen)" live
}

entry_address() { daemon_address "$1" listen; }
entry_ready() { [ "$(curl -s --noproxy '*' -o /dev/null -w '%{http_code}' "http://$(entry_address "$1")/readyz")" = 200 ]; }

# chat_body MODEL TEXT TOKENS [true|false: stream]
chat_body() {
  jq -cn --arg model "$1" --arg text "$2" --argjson tokens "$3" --argjson stream "${4:-false}" \
    '{model: $model, messages: [{role: "user", content: $text}], max_tokens: $tokens, stream: $stream}'
}

# serves ENTRY KEY MODEL: true once a short completion is answered through the entry.
serves() {
  post "$(entry_address "$1")" /v1/chat/completions "$(chat_body "$3" ready 1)" \
    -f -H "Authorization: Bearer $2" >/dev/null
}

# count NAME FILTER: a number from a stand-in's counts.
count() { get "$(standin_address "$1")" /counts | jq -r "$2"; }
# Requests that arrived more than once at any of the stand-ins named.
duplicate_arrivals() {
  local name total=0 twice
  for name in "$@"; do
    twice=$(count "$name" '[.by_request | to_entries[] | select(.key != "" and .value > 1)] | length')
    total=$((total + twice))
  done
  echo "$total"
}
