#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs the Go toolchain and no module beside the project's own.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -buildvcs=false -o review/bin/standins ./review/standins
