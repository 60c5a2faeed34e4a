#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-cases review/cases/main.go review/cases/world.go review/cases/server.go review/cases/scenarios.go review/cases/floor.go
