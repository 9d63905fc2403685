#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The deploy file's build line builds the project's own program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o target/review-2/standins ./review/standins-2
