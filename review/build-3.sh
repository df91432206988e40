#!/bin/sh
# Builds the stand-ins of the third review's cases. Run it after the build command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/third"
GOWORK=off go build -o ../../target/review-third/stand .
