#!/usr/bin/env bash
# Race tests of every module. State machine tests run with the seed in RAPID_SEED (0 draws one), 1 by default.
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
    # Only packages that use rapid know its flags.
    format='{{$p := .ImportPath}}{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$p}}{{"\n"}}{{end}}{{end}}'
    format+='{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$p}}{{"\n"}}{{end}}{{end}}'
    mapfile -t stateful < <(go list -f "$format" ./... | sort -u | sed '/^$/d')
    mapfile -t plain < <(go list ./... | grep -v /scenarios | grep -vxF "$(printf '%s\n' "${stateful[@]:-none}")")
    if [ ${#plain[@]} -gt 0 ]; then check "${plain[@]}"; fi
    if [ ${#stateful[@]} -gt 0 ]; then check "${stateful[@]}" "${rapid[@]}"; fi
  )
done
