#!/usr/bin/env bash
# Crowds of clients that nobody controls end no entry and no agent. One case after the other; see crowd.py.
set -u
build=$(cd "$1" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")"
result=0
for case in unended_lines ended_lines long_names connection_lines connection_options prompt_parts no_colons \
  long_target pipelined chunk_extensions trailers ready_page metrics_page descriptors body_parts small_bodies \
  peer_datagrams agent_datagrams agent_page; do
  /usr/bin/python3 -B crowd.py "$build/caraway-node" "$case" || result=1
done
exit $result
