#!/usr/bin/env bash
# 300 streams at once through one entry: each answer is whole and its own.
. "$(dirname "$0")/lib.sh"
small_cluster 1 2 --speed 4 --kv-tokens 1000000
load burst --target "$(entry_address entry0)" --seed 7 --rate 0.0001 --seconds 1 --burst-size 300 --burst-every 10 \
  --tier-shares 1,0,0,0 --start-within-ms 60000 --end-within-ms 60000 --max-tokens 60
same "sent" 300 "$(result burst .sent)"
same "answered" 300 "$(result burst .answered)"
same "lost" 0 "$(result burst '.lost + .broken')"
same "arrived twice" 0 "$(duplicate_arrivals engine0 engine1)"
