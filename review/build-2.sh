#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review2 ./review/fleet2/*.go
