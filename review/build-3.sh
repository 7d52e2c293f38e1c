#!/bin/bash
# Builds the stand-in that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin-3 ./review/standin-3
