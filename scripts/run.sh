#!/usr/bin/env bash
# Starts an example fleet on the loopback address: 3 control processes, and in 2 data centres 4 nodes and 4 targets of 2
# services. Sends the requests of examples/plan.csv through it and prints their outcomes. With ONCE=1 it then ends, with
# exit code 0 only if every request got an expected outcome. Otherwise the fleet runs until Ctrl-C.
set -euo pipefail

# shellcheck source=scripts/processes.sh
source "$(dirname "$0")/processes.sh"

mapfile -t free < <("$bin/samphire-standin" addresses 22)
(umask 077 && head -c 32 /dev/urandom | base64 >"$data/secret" && head -c 32 /dev/urandom | base64 >"$data/token")
export SAMPHIRE_SECRET_FILE=$data/secret SAMPHIRE_TOKEN_FILE=$data/token

fleet=("${free[0]}" "${free[1]}" "${free[2]}")
operators=("${free[3]}" "${free[4]}" "${free[5]}")
members=()
lenders=()
for i in 0 1 2; do
  members+=(--member "control$i=${fleet[i]}")
  lenders+=(--lender "control$i=${fleet[i]}")
done
# One node in each data centre is a lender of rate tokens too, so that keyed requests are still admitted while all control
# processes are down.
node_lenders=(--lender "node0=${free[10]}" --lender "node2=${free[12]}")
for i in 0 1 2; do
  start "control$i" "$bin/samphire-control" --name "control$i" --fleet "${fleet[i]}" --operators "${operators[i]}" \
    --data "$data/control$i" "${members[@]}" "${node_lenders[@]}"
done

entries=()
direct=()
for i in 0 1 2 3; do
  centre=auckland
  [ "$i" -lt 2 ] || centre=hamilton
  entry=${free[6 + i]} local=${free[14 + i]} target=${free[18 + i]}
  entries+=(--entry "$entry")
  start "node$i" "$bin/samphire-node" --name "node$i" --region north --centre "$centre" --entry "$entry" \
    --fleet "${free[10 + i]}" --local "$local" "${lenders[@]}" "${node_lenders[@]}" \
    --control "${fleet[i % 3]}" --control "${fleet[(i + 1) % 3]}" --control "${fleet[(i + 2) % 3]}"
  service=bookings
  [ $((i % 2)) = 0 ] || service=catalogue
  [ "$service" = bookings ] || direct+=(--direct "$target")
  start "target$i" "$bin/samphire-standin" target --name "$service$i" --service "$service" --listen "$target" \
    --local "$local" --slots 50
done

export SAMPHIRE_ADDRESSES
SAMPHIRE_ADDRESSES=$(IFS=, && echo "${operators[*]}")
until_ready "control processes" "$bin/samphire" version
"$bin/samphire" sheet apply --floors "$root/examples/showbook.csv"

issue() {
  (umask 077 && "$bin/samphire" keys issue --workspace "$1" | tail -n 1 >"$data/$2.key")
}
issue kowhai kowhai
issue caroni caroni
issue tui tui
issue tui withdrawn
"$bin/samphire" keys withdraw "$(cut -d _ -f 2 "$data/withdrawn.key")"
echo smk_aaaaaaaaaaaaaaaa_aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa >"$data/unknown.key"

# Succeeds when all 4 nodes have the newest version in force.
in_force() {
  local newest
  newest=$("$bin/samphire" version | head -n 1 | cut -d ' ' -f 2)
  for i in 0 1 2; do
    "$bin/samphire" version --control "${operators[i]}"
  done | grep '^node' | sort -u | awk -v newest="$newest" '$3 == newest { n++ } END { exit n == 4 ? 0 : 1 }'
}
four_targets() { [ "$("$bin/samphire" nodes | grep -c '^target')" = 4 ]; }
lenders() { [ "$(cat "$data"/control*.log | grep -c 'lend: lending starts')" = 3 ]; }
until_ready "lenders" lenders
until_ready "targets" four_targets
until_ready "configuration on all nodes" in_force

cp "$root/examples/plan.csv" "$data/"
status=0
(cd "$data" && "$bin/samphire-standin" load "${entries[@]}" "${direct[@]}" plan.csv) || status=$?

if [ "${ONCE:-}" = 1 ]; then exit "$status"; fi
echo
echo "Send requests through any node:"
for ((i = 1; i < ${#entries[@]}; i += 2)); do
  echo "  curl -H \"Authorization: Bearer \$(cat $data/kowhai.key)\" http://${entries[i]}/catalogue/2026"
done
echo "Logs are in $data. Press Ctrl-C to stop the fleet."
wait
