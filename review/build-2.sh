#!/usr/bin/env bash
# Builds what the scripts of the second review start besides target/build/caraway-node: the stand-ins are
# Python of the standard library (review/common-2), so they are compiled once to show that they are sound.
set -eu
cd "$(dirname "$0")"
for file in common-2/*.py */case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf8").read(), sys.argv[1], "exec")' "$file"
done
