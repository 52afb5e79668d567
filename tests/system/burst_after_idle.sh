#!/usr/bin/env bash
# A burst on an idle cluster that it can serve long before the deadlines: no tier is refused.
. "$(dirname "$0")/lib.sh"
small_cluster 1 2 --speed 4 --kv-tokens 1000000
load burst --target "$(entry_address entry0)" --seed 7 --rate 0.0001 --seconds 1 --burst-size 300 --burst-every 10 \
  --start-within-ms 60000 --end-within-ms 60000 --max-tokens 60
same "sent" 300 "$(result burst .sent)"
same "lost" 0 "$(result burst '.lost + .broken')"
same "answered" 300 "$(result burst .answered)"
