#!/usr/bin/env bash
# SIGTERM to an agent and to an entry under load cuts nothing, however often it comes: both end with
# status 0 once their running requests have their answers.
. "$(dirname "$0")/lib.sh"
small_cluster 2 3 --speed 2
# Only entry1 gets new callers; entry0 leaves with long streams open.
for caller in 1 2 3 4; do
  start "caller$caller" curl -sN -o "$run/caller$caller.out" -H "Authorization: Bearer $key" \
    -d "$(chat_body m "caller $caller" 300 true)" "http://$(entry_address entry0)/v1/chat/completions"
done
all_stream() { for caller in 1 2 3 4; do grep -q content "$run/caller$caller.out" || return 1; done; }
wait_for "all callers get tokens" all_stream
load storm --target "$(entry_address entry1)" --seed 9 --rate 20 --seconds 5 &
loader=$!
stop agent0 TERM
same "status of agent0" 0 "$stopped"
kill -TERM "${pids[entry0]}"
wait_for "entry0 is leaving" grep -q event=signal "$run/entry0.log"
stop entry0 TERM
same "status of entry0" 0 "$stopped"
for caller in 1 2 3 4; do
  wait "${pids[caller$caller]}" || fail "caller $caller: the connection broke"
  grep -q '"outcome":"answered"' "$run/caller$caller.out" || fail "caller $caller: no whole answer"
  grep -q 'DONE' "$run/caller$caller.out" || fail "caller $caller: no end of the stream"
done
wait "$loader"
same "lost" 0 "$(result storm '.lost + .broken')"
# With one engine less, a lower tier may be preempted for a higher one.
same "cut" 0 "$(awk '$4 == "cut" && ($5 != "preempted" || $2 == 0)' "$run/storm.outcomes" | wc -l)"
same "unknown" 0 "$(result storm .unknown)"
same "arrived twice" 0 "$(duplicate_arrivals engine0 engine1 engine2)"
