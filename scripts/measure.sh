#!/usr/bin/env bash
set -euo pipefail
echo "no measurements yet"
