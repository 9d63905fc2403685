#!/usr/bin/env bash
# Plays the case: see claim.txt. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption: no endpoint crashes (crashAndRestart in review/standins-2/stale_order.go).
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/dykering ] && [ -x target/review-2/standins ] || { echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/standins stale-order target/dykering "$folder"
