#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 and up start. It needs no network and
# no module besides the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
cd review/stand3
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -o ../../target/stand3 .
