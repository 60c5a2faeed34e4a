# Starts processes of a fleet for the scripts beside it, which source this file, and ends them with the script.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
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
