#!/usr/bin/env bash
# The users' platform has its own names on the wire. Only the adapter may know them.
set -u
cd "$(dirname "$0")/../.."
words='(?<!Caraway-)Request-Id|Response-Stamp|Not-Executed|Expect-Instance|Instance-Id|Server-Load|Token-Counts|Prompt-Prefix|Deadline-Ms|Weight-Versions|Kv-(Fetch|From|Backup)|Pin-Ms|keyed\.(op|servers|status)|path-prefix|api-keys|traffic-split|/v1/(log-|report|ready|hold-|kv-)|CARAWAYLINE_NODE_FILE'
if grep -rnP "$words" src; then
  echo "FAILED: names of the platform outside platform/"
  exit 1
fi
