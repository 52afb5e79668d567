#!/usr/bin/env bash
# Malformed and refused requests get their status, reach no engine, and leave the entry in service.
. "$(dirname "$0")/lib.sh"
small_cluster 1 1 --speed 4
arrivals=$(count engine0 .arrivals)
entry=$(entry_address entry0)
status() { # STATUS WHAT curl-options...
  local expected=$1 what=$2 actual; shift 2
  actual=$(curl -sS --noproxy '*' --max-time 30 -o "$run/body" -w '%{http_code}' "$@" || true)
  same "$what" "$expected" "$actual"
  case $expected in 2*) ;; *) same "$what: outcome" not_run "$(jq -r .error.outcome "$run/body")" ;; esac
}
chat="http://$entry/v1/chat/completions"
auth=(-H "Authorization: Bearer $key")
body=$(chat_body m hello 2)
status 400 "no JSON" "${auth[@]}" -d '{"model":' "$chat"
status 400 "no messages" "${auth[@]}" -d '{"model":"m"}' "$chat"
status 400 "messages of the wrong type" "${auth[@]}" -d '{"model":"m","messages":7}' "$chat"
status 401 "no key" -d "$body" "$chat"
status 401 "wrong key" -H 'Authorization: Bearer nobody' -d "$body" "$chat"
status 404 "unknown model" "${auth[@]}" -d "$(chat_body nothing hello 2)" "$chat"
status 404 "unknown route" "${auth[@]}" -d "$body" "http://$entry/v2/chat"
status 405 "wrong method" "${auth[@]}" -X PUT -d "$body" "$chat"
head -c 3000000 /dev/zero | tr '\0' 'x' >"$run/large"
status 413 "too large" "${auth[@]}" -H 'Expect:' --data-binary "@$run/large" "$chat"
same "arrivals" "$arrivals" "$(count engine0 .arrivals)"
status 200 "a good request" "${auth[@]}" -d "$body" "$chat"
same "arrivals" $((arrivals + 1)) "$(count engine0 .arrivals)"
