#!/usr/bin/env bash
# Builds the stand-in that the scripts of the third review start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/standin-3 ./review/standin-3
