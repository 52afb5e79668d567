#!/usr/bin/env bash
# Callers that disconnect free the engine's slot: while queued and while streaming.
. "$(dirname "$0")/lib.sh"
start_platform
put_account shop "$key" 0
put_record pool m '{"kind":"completion","start_within_ms":20000,"end_within_ms":600000}'
start_standin engine0 fake-engine --kv-tokens 1000000
start_agent agent0 engine "$(standin_address engine0)" m v1
start_entry entry0 '{"resume_grace_ms":200}'
wait_for "entry0 serves" serves entry0 "$key" m
for caller in 1 2 3; do
  start "caller$caller" curl -sN -o "$run/caller$caller.out" -H "Authorization: Bearer $key" \
    -d "$(chat_body m "caller $caller" 100000 true)" "http://$(entry_address entry0)/v1/chat/completions"
done
all_stream() { for caller in 1 2 3; do grep -q content "$run/caller$caller.out" || return 1; done; }
wait_for "all callers get tokens" all_stream
same "running" 3 "$(running engine0)"
for caller in 1 2 3; do stop "caller$caller"; done
wait_for "the engine is idle again" is_idle engine0
same "cancelled" 3 "$(count engine0 .cancelled)"
wait_for "entry0 serves afterwards" serves entry0 "$key" m
