#!/bin/sh
# Plays the case; exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] && [ -x target/release/swiftcart-sidecar ] || exit 2
exec target/review-2/standin pieces review/8/record.txt
