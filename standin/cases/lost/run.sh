#!/bin/sh
# Plays the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# claim.txt lists the settings.
cd "$(dirname "$0")/../../.." || exit 2
if [ ! -x target/cornelwall ] || [ ! -x target/review-lab ]; then
	echo "run the build of deploy/system.toml and standin/cases/build.sh first" >&2
	exit 2
fi
exec target/review-lab lost "${OUT:-standin/cases/lost}"
