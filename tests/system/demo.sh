#!/usr/bin/env bash
# The demo runs through and reports that nothing was lost or dispatched twice.
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
SKIP_BUILD=1 BUILD=$build scripts/demo | tail -n 1 | grep '^outcome=ok .*duplicate_dispatches=0 lost=0$'
