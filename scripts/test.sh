#!/usr/bin/env bash
# The tests: formatter and linter, then every test of every module with the
# race detector. Seeds are fixed. Needs Go; fetches the declared libraries.
#
# Tests that KNOWN-RED.txt lists are run and printed, and do not decide.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/lint.sh

red=$(sed -n 's/^Test: \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|' -)
if [ -n "$red" ]; then
  echo "--- known to be red, passed over:"
  cat KNOWN-RED.txt
fi
status=0
for module in internal platform tamarackpin tamarackpinctl tamarackpinload; do
  echo "--- $module"
  (cd "$module" && go test -race -count=1 -timeout 8m ${red:+-skip "^($red)\$"} ./...) || status=1
done
if [ -n "$red" ]; then
  echo "--- the tests of KNOWN-RED.txt, for information"
  for module in internal platform tamarackpin tamarackpinctl tamarackpinload; do
    (cd "$module" && go test -race -count=1 -timeout 3m -run "^($red)\$" ./... 2>&1 | tail -20) || true
  done
fi
exit $status
