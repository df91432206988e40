#!/usr/bin/env bash
# Builds the driver of each script, with its stand-ins, into the folder of its case. The random
# searches (search_*.go) are no cases; one is built by
# GOWORK=off go -C review build -o ../target/ search_soak.go, and is run in the repository.
set -euo pipefail
cd "$(dirname "$0")"
for n in 1 2 3 4 5; do
  GOWORK=off go build -o "$n/play" "./$n"
done
