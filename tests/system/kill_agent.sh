#!/usr/bin/env bash
# kill -9 of one agent and of another's engine under load: no answer is lost, nothing is dispatched
# twice, and what was told "not run" did not run.
. "$(dirname "$0")/lib.sh"
small_cluster 2 3 --speed 2
load storm --target "$(entry_address entry0)" --target "$(entry_address entry1)" --seed 5 --rate 40 --seconds 6 &
loader=$!
busy() { [ "$(running "$1")" -ge 2 ]; }
wait_for "agent0 has work" busy engine0
stop agent0 KILL
wait_for "engine1 has work" busy engine1
stop engine1 KILL
wait "$loader"
same "lost" 0 "$(result storm '.lost + .broken')"
same "arrived twice" 0 "$(duplicate_arrivals engine0 engine2)"
same "told not run, but arrived" 0 "$(not_run_arrivals storm engine0 engine2)"
at_least "answered" 100 "$(result storm .answered)"
for name in entry0 entry1 agent1 agent2; do same "violations of $name" 0 "$(violations "$name")"; done
wait_for "entry0 still serves" serves entry0 "$key" m
