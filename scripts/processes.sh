# Functions for scripts that source this file: they start the processes of a fleet, and stop them and delete their data
# when the script ends.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/bin
data=$(mktemp -d)
pids=()

# Stops the processes, the last started first.
stop() {
  trap - EXIT INT TERM
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do kill -TERM "${pids[i]}" 2>/dev/null || true; done
  wait || true
  rm -rf "$data"
}
trap stop EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND... runs a command in the background with its output in $data/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$data/$name.log" 2>&1 &
  pids+=($!)
}

# until_ready WHAT COMMAND... runs a command until it succeeds, and fails after about 15 s.
until_ready() {
  local what=$1
  shift
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "$what: not ready after 150 attempts" >&2
  tail -n 5 "$data"/*.log >&2
  exit 1
}
