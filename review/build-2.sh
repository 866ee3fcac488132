#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, without a network. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standin-2
GOFLAGS= GOWORK=off go build -o ../../target/review-standin-2 .
