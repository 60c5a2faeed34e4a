#!/usr/bin/env bash
set -euo pipefail
echo "no measurements yet"
(cd "$(dirname "$0")/../control" && go test -run '^$' -bench 'Commit|CatchUp|Failover|Snapshot|Restore|Sync' -benchtime 2s ./pkg/proposer)
