#!/usr/bin/env bash
# Prints the names of the tests that KNOWN-RED.txt lists, joined for go test's -skip and -run.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -s KNOWN-RED.txt ] || exit 0
grep -oE '^Test[A-Za-z0-9_/]+' KNOWN-RED.txt | paste -sd '|' | sed -E 's/(.*)/^(\1)$/' || true
