#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=1 go build -tags review -ldflags=-linkmode=external -o target/review-standin ./review/standin
