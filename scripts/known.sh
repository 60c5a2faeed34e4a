#!/usr/bin/env bash
# Prints the list of known faults that are not fixed yet. The test run skips their tests.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -s KNOWN-RED.txt ]; then
  echo "known faults, whose tests this run skipped:"
  cat KNOWN-RED.txt
else
  echo "no known faults"
fi
