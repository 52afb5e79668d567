#!/usr/bin/env bash
# Crowds of clients that nobody controls end no caraway-entry and no caraway-agent. One case after the
# other, each against fresh processes; see crowd_daemon.py. usage: crowd_daemon.sh BUILD [CASE...], a
# CASE as entry/callers/half_line.
. "$(dirname "$0")/lib.sh"
shift
readonly kMemoryMb=64 kDescriptors=300
heads="half_line refused_head unended_lines ended_lines long_names connection_lines no_colons descriptors"
frames="silent half_frame large_frame"
cases=()
for name in $heads long_target bodies chunk_extensions trailers pipelined silent; do cases+=("entry/callers/$name"); done
for name in half_line ended_lines bodies descriptors half_handshake no_handshake; do cases+=("entry/tls/$name"); done
for name in $heads; do cases+=("entry/admin/$name"); done
for name in $frames; do cases+=("entry/peers/$name"); done
for name in $heads; do cases+=("agent/admin/$name"); done
for name in $frames; do cases+=("agent/entries/$name"); done
[ $# -eq 0 ] || cases=("$@")

# Settings of the process that a crowd meets: short limits of time only where clients are to outlive them.
crowd_settings() { # PROCESS/PORT/CASE
  local settings="" read_ms=60000
  case $1 in */half_line | */refused_head) read_ms=300 ;; esac
  known() { "$build/caraway-entry" --settings-reference | grep -q "^| \`$1\`"; }
  if known memory_mb; then settings+=",\"memory_mb\":$kMemoryMb"; fi
  case $1 in entry/*) settings+=",\"request_read_ms\":$read_ms" ;; esac
  case $1 in entry/tls/*) settings+=",\"tls\":{\"certificate_file\":\"$PWD/tests/runtime/test_certificate.pem\",
    \"key_file\":\"$PWD/tests/runtime/test_key.pem\"}" ;; esac
  echo "$settings"
}

start_platform
put_account shop "$key" 0
put_record pool m '{"kind":"completion","start_within_ms":20000,"end_within_ms":60000}'
start_standin engine fake-engine --speed 4
hard=$(ulimit -Hn)
result=0
for case in "${cases[@]}"; do
  process=${case%%/*} rest=${case#*/}
  port=${rest%%/*} name=${rest#*/}
  limit() { if [ "$1" = "$process" ]; then ulimit -Sn $kDescriptors; else ulimit -Sn "$hard"; fi; }
  export ENTRY_SETTINGS="" AGENT_SETTINGS=""
  if [ "$process" = entry ]; then ENTRY_SETTINGS=$(crowd_settings "$case"); else AGENT_SETTINGS=$(crowd_settings "$case"); fi
  limit agent; start_agent agent engine "$(standin_address engine)" m v1
  limit entry; start_entry entry
  ulimit -Sn "$hard"
  callers=$(entry_address entry)
  case $port in
    callers | tls) target=$callers ;;
    admin) target=$(daemon_address "$process" admin) ;;
    peers) target=$(daemon_address entry peer_listen) ;;
    entries) target=$(daemon_address agent listen) ;;
  esac
  tls=(); [ "$port" != tls ] || tls=(--tls)
  /usr/bin/python3 -B tests/system/crowd_daemon.py "$name" --name "$case" --pid "${pids[$process]}" \
    --crowd "$target" --callers "$callers" "${tls[@]}" || result=1
  stop entry KILL
  stop agent KILL
done
exit $result
