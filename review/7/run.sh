#!/bin/sh
# Runs the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in node control review2; do
	[ -x "target/$program" ] || { echo "target/$program is not built" >&2; exit 2; }
done
exec target/review2 departure review/7/record.txt
