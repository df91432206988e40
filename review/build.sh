#!/usr/bin/env bash
# Builds the stand-ins and drivers of all scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off go build -o bin/ ./cases/... ./search/...
