#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no kill.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../common PYTHONDONTWRITEBYTECODE=1 exec python3 play.py
