#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, as target/stand2. They
# use the standard library only.
set -eu
cd "$(dirname "$0")/stand2"
GOFLAGS=-buildvcs=false GOWORK=off GOPROXY=off go build -o ../../target/stand2 .
