#!/usr/bin/env bash
# Measures how the costs of a fleet grow with its size. A small fleet runs on the loopback address: 3 control processes, an
# entry node and a node beside a target. Stand-ins take the place of further nodes. Prints each fitted cost with its
# residual. Takes about two minutes and a few hundred connections.
set -euo pipefail

# shellcheck source=scripts/processes.sh
source "$(dirname "$0")/processes.sh"

mapfile -t free < <("$bin/samphire-standin" addresses 14)
(umask 077 && head -c 32 /dev/urandom | base64 >"$data/secret" && head -c 32 /dev/urandom | base64 >"$data/token")
export SAMPHIRE_SECRET_FILE=$data/secret SAMPHIRE_TOKEN_FILE=$data/token

members=()
lenders=()
for i in 0 1 2; do
  members+=(--member "control$i=${free[i]}")
  lenders+=(--lender "control$i=${free[i]}")
done
for i in 0 1 2; do
  start "control$i" "$bin/samphire-control" --name "control$i" --fleet "${free[i]}" --operators "${free[3 + i]}" \
    --data "$data/control$i" "${members[@]}"
done
export SAMPHIRE_ADDRESSES=${free[3]},${free[4]},${free[5]}
until_ready "control" "$bin/samphire" version
leader=$("$bin/samphire" members | sed -n 's/^leader control//p')
follower=$(((leader + 1) % 3))
# GOMEMLIMIT of the entry node and of the node beside the target.
memory_limits=("" 30MiB)
for i in 0 1; do
  start "node$i" env GOMEMLIMIT="${memory_limits[i]:-off}" "$bin/samphire-node" --name "node$i" --region north --centre "centre$i" --entry "${free[6 + i]}" \
    --fleet "${free[8 + i]}" --local "${free[10 + i]}" --control "${free[leader]}" \
    "${lenders[@]}"
done
start target "$bin/samphire-standin" target --name target --service bookings --listen "${free[12]}" --local "${free[11]}" \
  --slots 500

cat >"$data/sheet.csv" <<'SHEET'
kind,name,rate,burst,weight,prefix,service,milliseconds,floor
service,bookings,,,,,,,1
workspace,kowhai,100000,100000,1,,,,
route,bookings,,,,/bookings,bookings,10000,
SHEET
"$bin/samphire" sheet apply --floors "$data/sheet.csv" >/dev/null
(umask 077 && "$bin/samphire" keys issue --workspace kowhai | tail -n 1 >"$data/key")
served() { curl -sf -H "Authorization: Bearer $(cat "$data/key")" "http://${free[6]}/bookings/slots"; }
until_ready "a request through the fleet" served

"$bin/samphire-standin" slopes --leader "${pids[leader]}" --follower "${pids[follower]}" --fleet "${free[leader]}" \
  --operators "${free[3 + leader]}" --entry "${pids[3]}" --gate "${pids[4]}" --callers "${free[6]}" \
  --direct "${free[12]}" --local "${free[11]}" --key "$data/key" --path /bookings/slots
