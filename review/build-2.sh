#!/bin/bash
# Builds the stand-ins of the scripts in review/6 to review/9 into target/review-2/, without a network. The other programs in
# review/second/ are searches and no cases: GOWORK=off go -C review/second build -o ../../target/review-2/ ./soak
set -e
cd "$(dirname "$0")/second"
mkdir -p ../../target/review-2
GOWORK=off go build -o ../../target/review-2/ ./thaw ./late-copy ./woken-cancel ./cut-cancel
