#!/usr/bin/env bash
# Prints the measurements that docs/design/ quotes.
set -euo pipefail
cd "$(dirname "$0")/.."
(cd control && go test -run '^$' -bench 'Commit|Failover|Snapshot|Restore|Sync' -benchtime 2s ./pkg/proposer)
(cd standin && go test -count=1 -v ./allowances -table -seconds "${SECONDS_OF_LOAD:-60}" -seed "${LOAD_SEED:-1}" | grep -vE '^ *(---|===|PASS|ok)')
(cd core && go test -run '^$' -bench 'Borrow|Lend|Draw' -benchmem ./exchanger ./allotter)
