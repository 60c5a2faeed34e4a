#!/usr/bin/env bash
set -euo pipefail
echo "no measurements yet"
(cd "$(dirname "$0")/../control" && go test -run '^$' -bench 'Commit|Failover|Snapshot|Restore|Sync' -benchtime 2s ./pkg/proposer)
(cd "$(dirname "$0")/../core" && go test -count=1 -v -run TestWorstServedWorkspace ./queuer | grep 'worst-served')
(cd "$(dirname "$0")/../node" && go test -count=1 -v -run TestLargeBodiesStream ./pkg/acceptor | grep 'heap in use')
(cd "$(dirname "$0")/../standin" && go test -count=1 -v -run 'TestScenarios/(tombstone|stopping)$' ./scenarios |
  grep -E '^ +(stall|cut|kill|bookings) +[0-9]')
