#!/bin/sh
# Builds the stand-ins of the cases into target/, which git ignores. They use the
# standard library only.
set -eu
cd "$(dirname "$0")"
GOFLAGS=-buildvcs=false GOWORK=off GOPROXY=off go build -o ../target/review-stand .
