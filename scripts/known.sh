#!/usr/bin/env bash
# Prints the faults that are known and not mended yet.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -s KNOWN-RED.txt ]; then
  echo "known faults, passed over by this run:"
  cat KNOWN-RED.txt
else
  echo "no known faults are listed"
fi
