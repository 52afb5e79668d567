#!/usr/bin/env bash
# kill -9 of an entry under load: its callers' connections break, the other entry loses nothing,
# nothing is dispatched twice, and the engines' slots of the dead entry's callers become free.
. "$(dirname "$0")/lib.sh"
small_cluster 2 2 --speed 2
load storm --target "$(entry_address entry0)" --target "$(entry_address entry1)" --seed 6 --rate 30 --seconds 5 &
loader=$!
busy() { [ "$(running "$1")" -ge 2 ]; }
wait_for "engine0 has work" busy engine0
stop entry0 KILL
wait "$loader"
same "lost" 0 "$(result storm .lost)"
at_least "answered" 50 "$(result storm .answered)"
same "arrived twice" 0 "$(duplicate_arrivals engine0 engine1)"
same "told not run, but arrived" 0 "$(not_run_arrivals storm engine0 engine1)"
for name in entry1 agent0 agent1; do same "violations of $name" 0 "$(violations "$name")"; done
load after --target "$(entry_address entry1)" --seed 8 --rate 20 --seconds 2
same "answered afterwards" "$(result after .sent)" "$(result after .answered)"
