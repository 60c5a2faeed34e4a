#!/usr/bin/env bash
# Prints the names of the tests that KNOWN-RED.txt lists, in the form that go test's -skip takes.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -s KNOWN-RED.txt ] || exit 0
grep -oE '^Test[A-Za-z0-9_/]+' KNOWN-RED.txt | sed -E 's|/|$/^|g; s|^|^|; s|$|$|' | paste -sd '|' || true
