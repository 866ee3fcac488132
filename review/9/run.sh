#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fulmarloft ] && [ -x target/review-standin-2 ] || { echo "not built"; exit 2; }
exec timeout -k 5 110 target/review-standin-2 large-jobs target/fulmarloft review/9/record.txt
