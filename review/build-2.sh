#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 of the review. The program of the project is built by
# the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2/standin-2 ./review/standin-2
