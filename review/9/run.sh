#!/usr/bin/env bash
# Plays case 9 against the project's own processes. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/rhubarbwick ] || [ ! -x target/review2 ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
exec timeout 115 target/review2 private-route review/9
