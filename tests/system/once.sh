#!/usr/bin/env bash
# Calls that must run once, with lost append answers: every key runs at most once, and a repeat of a
# key through another entry gets the first answer.
. "$(dirname "$0")/lib.sh"
start_platform
put_account shop "$key" 0
put_record pool orders '{"kind":"service","start_within_ms":5000,"end_within_ms":20000,"once_routes":["/new"]}'
start_entry entry0
start_entry entry1
add_service
post "$platform" /fault '{"lose_append_answers":5}' >/dev/null
load calls --target "$(entry_address entry0)" --target "$(entry_address entry1)" --seed 2 --rate 20 --seconds 2 --once-share 1
same "lost" 0 "$(result calls '.lost + .broken')"
same "executions of one body" 0 "$(count service .repeated_bodies)"
same "arrived twice" 0 "$(duplicate_arrivals service)"
same "told not run, but arrived" 0 "$(not_run_arrivals calls service)"
once_key=$(printf '%08x-%04x-7abc-8abc-0123456789ab' $(($(date +%s%3N) >> 16)) $(($(date +%s%3N) & 65535)))
executions=$(count service .executions)
for entry in entry0 entry1 entry0; do
  post "$(entry_address $entry)" /services/orders/new '{"message":"three vans"}' -H "Authorization: Bearer $key" \
    -H "Idempotency-Key: $once_key" -o "$run/$entry.answer"
  same "answer through $entry" "$(post "$(standin_address service)" /new '{"message":"three vans"}')" "$(cat "$run/$entry.answer")"
done
same "executions of one key" $((executions + 4)) "$(count service .executions)" # 3 are the test's own
at_least "answered" 10 "$(result calls .answered)"
