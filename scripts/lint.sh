#!/usr/bin/env bash
# Formatter, linter and vet, over every module.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p bin
GOWORK=off go -C tools build -o "$PWD/bin/" mvdan.cc/gofumpt github.com/mgechev/revive

unformatted=$(bin/gofumpt -l internal platform tamarackpin tamarackpinctl tamarackpinload)
if [ -n "$unformatted" ]; then
  echo "not formatted with gofumpt:"
  echo "$unformatted"
  exit 1
fi
for module in internal platform tamarackpin tamarackpinctl tamarackpinload; do
  (cd "$module" && go vet ./...)
  bin/revive -set_exit_status "./$module/..."
done
echo "gofumpt, vet and revive: clean"
