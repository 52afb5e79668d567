#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python with its standard library alone, so it only checks them.
cd "$(dirname "$0")" || exit 2
python3 - <<'PYTHON'
import glob, sys
if sys.version_info < (3, 9):
    sys.exit("python3 3.9 or later is needed")
for path in glob.glob("*/*.py"):
    with open(path, encoding="utf8") as file:
        compile(file.read(), path, "exec")
PYTHON
