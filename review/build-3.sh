#!/usr/bin/env bash
# Builds what the cases of the third review start beside the build of the deploy file. Their stand-ins are Python
# programs, so this only compiles them.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in common-3/*.py 1[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
