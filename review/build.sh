#!/usr/bin/env bash
# Builds the stand-ins and checks that the scripts start; the deploy file's build makes the project's program.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
