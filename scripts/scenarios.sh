#!/usr/bin/env bash
# Runs the scenarios of each module, which start real processes, one module after the other and up to 4 scenarios at once.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=$(./scripts/known_names.sh)
for module in standin platform; do
  (cd "$module" && go test -count=1 -parallel 4 -timeout 15m ${skip:+-skip "$skip"} ./scenarios/...)
done
