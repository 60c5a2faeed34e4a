#!/usr/bin/env bash
# Prints the measurements. They run one after the other so that they do not disturb each other. Each heading gives the
# required bound, if there is one. A figure beyond its bound is printed and does not end the run.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)

echo "== added latency: requests sent to targets directly and through the fleet (bound: 1.2 ms at p99)"
ONCE=1 "$root/scripts/run.sh"

echo "== a sheet of 81,000 workspaces: time until it is accepted and in force on 4 nodes (bound: 5,000 ms)"
(cd "$root/standin" && go test -count=1 -v -run 'TestScenariosAlone/sheet_large$' ./scenarios) |
  grep -E 'accepted in version 2 after|in force on' | sort -u

echo "== replicated log: commits, failover and snapshots"
(cd "$root/control" && go test -run '^$' -bench 'Commit|CatchUp|Failover|Snapshot|Restore|Sync' -benchtime 2s ./pkg/proposer)

echo "== rate limiting: refused requests within the rate, by strategy; bytes and messages"
(cd "$root/standin" && go test -count=1 -v ./allowances -table -seconds "${SECONDS_OF_LOAD:-60}" -seed "${LOAD_SEED:-1}") |
  grep -vE '^ *(---|===|PASS|ok)'
(cd "$root/core" && go test -run '^$' -bench 'Borrow|Lend|Spend' -benchmem ./borrower ./allocator)

echo "== outlier detection: seconds to detect a fault, p50 / p99 (50 runs, seeds 0 to 49), and false ejections per target hour (120 target hours, seed 1)"
echo "| lean | method | slow x5 | fails 1 in 10 | flaps | hangs | lies | false |"
(cd "$root/core" && go test -count=1 -v -run TestMeasure ./detector -measure | grep '^|')

echo "== fair queueing: the worst-served workspace beside one that sends eight times its rate"
(cd "$root/core" && go test -count=1 -v -run TestWorstServedWorkspace ./queuer | grep 'worst-served')

echo "== heap of a node that forwards bodies of 200 MB"
(cd "$root/node" && go test -count=1 -v -run TestLargeBodiesStream ./pkg/acceptor | grep 'heap in use')

echo "== 200 uploads at once through one entry: heap, and small requests beside them"
(cd "$root/node" && go test -count=1 -v -run TestUploadsAtOnceBesideSmallRequests ./pkg/acceptor | grep 'uploads served')

echo "== outcomes of requests while a gate is unreachable or killed, and during planned restarts"
(cd "$root/standin" && go test -count=1 -v -run 'TestScenarios/(tombstone|stopping)$' ./scenarios |
  grep -E '^ +(stall|cut|kill|bookings) +[0-9]')
