#!/bin/bash
# Builds the stand-ins of the cases review/6 and later into target/review-2/, without a network.
set -e
cd "$(dirname "$0")/second"
mkdir -p ../../target/review-2
GOWORK=off go build -o ../../target/review-2/ ./...
