#!/usr/bin/env bash
# The platform's log is down when the processes start, and again later: an entry is not ready without
# configuration, becomes ready by itself, and serves completions through a later outage, while calls
# that must run once are refused as not run.
. "$(dirname "$0")/lib.sh"
start_platform
put_account shop "$key" 0
put_record pool m '{"kind":"completion","start_within_ms":20000,"end_within_ms":60000}'
put_record pool orders '{"kind":"service","start_within_ms":5000,"end_within_ms":20000,"once_routes":["/new"]}'
post "$platform" /fault '{"log_down":true}' >/dev/null
start_standin engine0 fake-engine --speed 4
start_agent agent0 engine "$(standin_address engine0)" m v1
start_entry entry0
entry_ready entry0 && fail "entry0 is ready without configuration"
post "$platform" /fault '{"log_down":false}' >/dev/null
wait_for "entry0 is ready" entry_ready entry0
wait_for "entry0 serves" serves entry0 "$key" m
add_service
post "$platform" /fault '{"log_down":true}' >/dev/null
load outage --target "$(entry_address entry0)" --seed 4 --rate 20 --seconds 2 --start-within-ms 20000 --end-within-ms 60000
same "answered in the outage" "$(result outage .sent)" "$(result outage .answered)"
executions=$(count service .executions)
load once --target "$(entry_address entry0)" --seed 5 --rate 10 --seconds 1 --once-share 1
same "once calls not run" "$(result once .sent)" "$(result once .not_run)"
same "executions" "$executions" "$(count service .executions)"
