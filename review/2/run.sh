#!/usr/bin/env bash
# Plays the case: 1 the rule was broken, 0 it held, 2 it could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/standins ] || [ ! -x target/dykering ]; then
	echo "not built: the build line of deploy/system.toml and review/build.sh come first" >&2
	exit 2
fi
exec review/bin/standins unframed-stream review/2
