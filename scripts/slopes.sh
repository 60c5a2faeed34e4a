#!/usr/bin/env bash
# Measures how the costs of a small fleet on the loopback address grow with its size: 2 control processes, an entry node
# and a node beside a target, with stand-ins in place of more nodes. Prints each fit with its residual. It takes about
# two minutes and a few hundred connections.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/bin
data=$(mktemp -d)
pids=()

stop() {
  trap - EXIT INT TERM
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do kill -TERM "${pids[i]}" 2>/dev/null || true; done
  wait || true
  rm -rf "$data"
}
trap stop EXIT
trap 'exit 130' INT TERM

start() {
  local name=$1
  shift
  "$@" >"$data/$name.log" 2>&1 &
  pids+=($!)
}

until_ready() {
  local what=$1
  shift
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "not ready: $what" >&2
  tail -n 5 "$data"/*.log >&2
  exit 1
}

mapfile -t port < <("$bin/samphire-standin" ports 11)
at() { echo "127.0.0.1:${port[$1]}"; }
(umask 077 && head -c 32 /dev/urandom | base64 >"$data/secret" && head -c 32 /dev/urandom | base64 >"$data/token")
export SAMPHIRE_SECRET_FILE=$data/secret SAMPHIRE_TOKEN_FILE=$data/token

start leader "$bin/samphire-control" --name leader --fleet "$(at 0)" --operators "$(at 1)" --peer "$(at 2)" --primary
start follower "$bin/samphire-control" --name follower --fleet "$(at 2)" --operators "$(at 3)" --peer "$(at 0)"
for i in 0 1; do
  start "node$i" "$bin/samphire-node" --name "node$i" --region north --centre "centre$i" --entry "$(at $((4 + i)))" \
    --fleet "$(at $((6 + i)))" --local "$(at $((8 + i)))" --control "$(at 0)"
done
start target "$bin/samphire-standin" target --name target --service bookings --listen "$(at 10)" --local "$(at 9)" \
  --slots 500

export SAMPHIRE_OPERATORS
SAMPHIRE_OPERATORS=$(at 1)
until_ready "control" "$bin/samphire" version
cat >"$data/sheet.csv" <<'SHEET'
kind,name,rate,burst,weight,prefix,service,milliseconds,floor
service,bookings,,,,,,,1
workspace,kowhai,100000,100000,1,,,,
route,bookings,,,,/bookings,bookings,10000,
SHEET
"$bin/samphire" sheet apply --floors "$data/sheet.csv" >/dev/null
(umask 077 && "$bin/samphire" keys issue --workspace kowhai | tail -n 1 >"$data/key")
served() { curl -sf -H "Authorization: Bearer $(cat "$data/key")" "http://$(at 4)/bookings/slots"; }
until_ready "a request through the fleet" served

"$bin/samphire-standin" slopes --leader "${pids[0]}" --follower "${pids[1]}" --fleet "$(at 0)" --operators "$(at 1)" \
  --entry "${pids[2]}" --gate "${pids[3]}" --callers "$(at 4)" --direct "$(at 10)" --key "$data/key" \
  --path /bookings/slots --local "$(at 9)"
