#!/usr/bin/env bash
# A short seeded run of the soak of processes, and the seeds that failed once.
set -eu
build=$(cd "$1" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
export BUILD=$build
/usr/bin/python3 -B tests/soak/selftest.py
scripts/soak-processes --seed 1 --runs 3 --seconds 6 --jobs 3 --generation 4
# Kinds that are played alone, side by side.
alone=()
scripts/soak-processes --seed 11 --runs 1 --seconds 14 --jobs 1 --tainted 3 --generation 4 & alone+=($!)
scripts/soak-processes --seed 7531 --runs 1 --seconds 8 --jobs 1 --generation 4 \
  --kinds name_rate,repeat_refusals,register_odd & alone+=($!)
scripts/soak-processes --seed 41000 --runs 1 --seconds 8 --jobs 1 --generation 4 \
  --kinds terminate_repeatedly & alone+=($!)
scripts/soak-processes --seed 60023 --runs 1 --seconds 12 --jobs 1 --generation 5 \
  --kinds restore_store,change_config,withdraw_key,leave & alone+=($!)
scripts/soak-processes --seed 60520 --runs 1 --seconds 10 --jobs 1 --generation 5 --kinds odd_answers & alone+=($!)
for run in "${alone[@]}"; do wait "$run"; done
scripts/soak-processes --regressions --jobs 3
