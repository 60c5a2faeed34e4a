#!/usr/bin/env bash
# Fails if a goroutine is started by a bare go statement outside tests.
set -euo pipefail
cd "$(dirname "$0")/.."
if git ls-files -co --exclude-standard '*.go' | grep -v _test.go | xargs grep -nE '^\s*go (func|[a-zA-Z])'; then
  echo "goroutines are started through a group" >&2
  exit 1
fi
