#!/usr/bin/env bash
# Runs the tests of every module, except scenarios, with the race detector. State machine tests use the seed in RAPID_SEED:
# 1 by default, 0 for a random one. Tests of known faults are skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=$(./scripts/known_names.sh)
rapid=(-rapid.seed="${RAPID_SEED:-1}" -rapid.checks="${RAPID_CHECKS:-100}" -rapid.nofailfile)

check() {
  local flags=()
  if [ -n "$skip" ]; then flags+=(-skip "$skip"); fi
  go test -race -count=1 -timeout 10m "${flags[@]}" "$@"
}

for module in core control ctl node platform standin; do
  echo "test $module"
  (
    cd "$module"
    # Only test binaries that import rapid accept its flags.
    format='{{$p := .ImportPath}}{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$p}}{{"\n"}}{{end}}{{end}}'
    format+='{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$p}}{{"\n"}}{{end}}{{end}}'
    mapfile -t stateful < <(go list -f "$format" ./... | sort -u | sed '/^$/d')
    mapfile -t plain < <(go list ./... | grep -v /scenarios | grep -vxF "$(printf '%s\n' "${stateful[@]:-none}")")
    if [ ${#plain[@]} -gt 0 ]; then check "${plain[@]}"; fi
    if [ ${#stateful[@]} -gt 0 ]; then check "${stateful[@]}" "${rapid[@]}"; fi
  )
done
