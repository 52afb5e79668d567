#!/usr/bin/env bash
# An engine that reads a request and closes its connection counts one arrival for it: nothing between
# the caller and the engine sends it again.
. "$(dirname "$0")/lib.sh"
small_cluster 1 1 --speed 4
post "$(standin_address engine0)" /fault '{"close_after_reading":true}' >/dev/null
load closing --target "$(entry_address entry0)" --seed 3 --rate 10 --seconds 2 --start-within-ms 3000 --end-within-ms 5000
same "answered" 0 "$(result closing .answered)"
same "lost" 0 "$(result closing '.lost + .broken')"
same "arrived twice" 0 "$(duplicate_arrivals engine0)"
same "told not run, but arrived" 0 "$(not_run_arrivals closing engine0)"
at_least "arrivals" 2 "$(count engine0 .arrivals)"
