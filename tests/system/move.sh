#!/usr/bin/env bash
# Two version moves with real processes: a bad version gets a small share and is taken back, and
# nothing once it is; a good version's move is done in time.
. "$(dirname "$0")/lib.sh"
start_platform
put_account shop "$key" 0
put_record pool m '{"kind":"completion","start_within_ms":20000,"end_within_ms":60000}'
for index in 0 1; do
  start_standin "old$index" fake-engine --speed 8
  start_agent "old-agent$index" engine "$(standin_address "old$index")" m v1
done
start_standin bad fake-engine --speed 8 --bad fail --bad-fail-ratio 1
start_agent bad-agent engine "$(standin_address bad)" m bad
for index in 0 1; do start_entry "entry$index" '{"move_soak_ms":1000}'; done

# begin_move NAME FROM TO SECONDS
begin_move() {
  local now; now=$(date +%s%3N)
  put_record move "$1" "{\"pool\":\"m\",\"from\":\"$2\",\"to\":\"$3\",\"started_at_ms\":$now,\"finish_by_ms\":$((now + $4 * 1000))}"
}
reached() { # MOVE STAGE, at both entries
  for index in 0 1; do grep -q "event=move subject=$1 stage=$2" "$run/entry$index.log" || return 1; done
}

begin_move to-bad v1 bad 20
for index in 0 1; do wait_for "entry$index serves" serves "entry$index" "$key" m; done
load first --target "$(entry_address entry0)" --target "$(entry_address entry1)" --seed 11 --rate 40 --seconds 8 --max-tokens 40
wait_for "the bad version is taken back" reached to-bad taken_back
arrivals=$(count bad .arrivals)
sent=$(result first .sent)
say "the bad version got $arrivals of $(result first .sent) requests, $(result first .answered) answered"
[ $((arrivals * 10)) -le "$sent" ] || fail "the bad version got $arrivals of $sent requests"
load second --target "$(entry_address entry0)" --target "$(entry_address entry1)" --seed 12 --rate 40 --seconds 2 --max-tokens 40
same "arrivals at the bad version after its move was taken back" "$arrivals" "$(count bad .arrivals)"
same "answered by the old version" "$(result second .sent)" "$(result second .answered)"

start_standin good fake-engine --speed 8
start_agent good-agent engine "$(standin_address good)" m good
begin_move to-good v1 good 15
load third --target "$(entry_address entry0)" --target "$(entry_address entry1)" --seed 13 --rate 40 --seconds 18 --max-tokens 40
wait_for "the good version's move is done" reached to-good done
same "lost" 0 "$(result third '.lost + .broken')"
at_least "arrivals at the good version" 50 "$(count good .arrivals)"
same "arrived twice" 0 "$(duplicate_arrivals old0 old1 bad good)"
