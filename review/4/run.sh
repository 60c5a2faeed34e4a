#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
test -x target/review-cases || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review-cases -case drain-after-restart -record "$folder/record.txt"
