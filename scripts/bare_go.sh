#!/usr/bin/env bash
# Fails if code outside tests starts a goroutine by a bare go statement instead of through a group that waits for it.
set -euo pipefail
cd "$(dirname "$0")/.."
if git ls-files -co --exclude-standard '*.go' | grep -v _test.go | xargs grep -nE '^\s*go (func|[a-zA-Z])'; then
  echo "bare go statements found: start goroutines through a group, such as errgroup.Group" >&2
  exit 1
fi
