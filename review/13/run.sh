#!/usr/bin/env bash
# Plays the case "cancel"; needs the build of the deploy file and review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fulmarloft ] && [ -x target/review-3/standin-3 ] || exit 2
exec target/review-3/standin-3 cancel target/fulmarloft review/13/record.txt
