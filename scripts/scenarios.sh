#!/usr/bin/env bash
# Scenarios with real processes, one at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=$(./scripts/known_names.sh)
for module in standin platform; do
  (cd "$module" && go test -count=1 -parallel 4 -timeout 15m ${skip:+-skip "$skip"} ./scenarios/...)
done
