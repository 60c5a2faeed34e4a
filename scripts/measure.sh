#!/usr/bin/env bash
# Prints the measurements, one part after the other so that they do not disturb each other. Bounds are the stated
# targets; a figure past its bound is printed as such and does not end the run.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)

echo "== time that the path adds, direct and through (bound: 1.2 ms for 99 in 100)"
ONCE=1 "$root/scripts/run.sh"

echo "== a sheet of 81,000 workspaces, to accepted and to in force on 4 nodes (bound: 5,000 ms)"
(cd "$root/standin" && go test -count=1 -v -run 'TestScenariosAlone/sheet_large$' ./scenarios) |
  grep -E 'accepted in version 2 after|in force on' | sort -u

echo "== commits, failover and snapshots of the log"
(cd "$root/control" && go test -run '^$' -bench 'Commit|CatchUp|Failover|Snapshot|Restore|Sync' -benchtime 2s ./pkg/proposer)

echo "== what rates refuse within them, by way of dividing them; bytes and messages"
(cd "$root/standin" && go test -count=1 -v ./allowances -table -seconds "${SECONDS_OF_LOAD:-60}" -seed "${LOAD_SEED:-1}") |
  grep -vE '^ *(---|===|PASS|ok)'
(cd "$root/core" && go test -run '^$' -bench 'Borrow|Lend|Spend' -benchmem ./borrower ./allocator)

echo "== judges: seconds to detect, p50 / p99, and false ejections per target hour (50 runs, seeds 0 to 49; 120 target hours, seed 1)"
echo "| lean | judge | slow x5 | fails 1 in 10 | flaps | hangs | lies | false |"
(cd "$root/core" && go test -count=1 -v -run TestMeasure ./detector -measure | grep '^|')

echo "== the worst-served workspace beside one at eight times its rate"
(cd "$root/core" && go test -count=1 -v -run TestWorstServedWorkspace ./queuer | grep 'worst-served')

echo "== heap of a node while bodies of 200 MB pass"
(cd "$root/node" && go test -count=1 -v -run TestLargeBodiesStream ./pkg/acceptor | grep 'heap in use')

echo "== outcomes with and without tombstones, and requests cut by planned stops"
(cd "$root/standin" && go test -count=1 -v -run 'TestScenarios/(tombstone|stopping)$' ./scenarios |
  grep -E '^ +(stall|cut|kill|bookings) +[0-9]')
