#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, as target/stand2.
set -e
cd "$(dirname "$0")/stand2"
go build -o ../../target/stand2 .
