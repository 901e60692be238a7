#!/usr/bin/env bash
# The whole test suite: formatting, vet, the linter, and the tests.
set -eu
cd "$(dirname "$0")"

go tool -modfile=tools/go.mod golangci-lint fmt --diff  # built from the Go module proxy at its first run
go vet ./...
go tool -modfile=tools/go.mod golangci-lint run ./...
# KNOWN-RED.txt has one entry a line, for each test that fails for a known fault. Go tests of it are left out here, and run and printed at the end.
#   PACKAGE TEST: what was seen, command and seed, cause; issue N
#   no Go test, `COMMAND`: what was seen; issue N
reject() { echo "KNOWN-RED.txt: $1: $2"; exit 1; }
red_packages=() red_tests=() red_entries=() red_commands=()
while read -r entry; do
  [ "$(grep -oE 'issue [0-9]+' <<<"$entry" | wc -l)" -eq 1 ] || reject 'an entry names exactly one issue' "$entry"
  if [[ $entry =~ ^no\ Go\ test,\ \`[^\`]+\`[^:]*:\ . ]]; then
    red_commands+=("$entry")
    continue
  fi
  [[ $entry =~ ^([a-z0-9/_]+)\ (Test[A-Za-z0-9_]+)(/[^\ :]+)?:\ . ]] || reject 'neither "PACKAGE TEST: ..." nor "no Go test, `COMMAND`: ..."' "$entry"
  package=${BASH_REMATCH[1]} name=${BASH_REMATCH[2]} subtest=${BASH_REMATCH[3]}
  grep -qs "^func $name(" "$package"/*_test.go || reject "no test $name in $package" "$entry"
  red_packages+=("$package") red_tests+=("$name$subtest") red_entries+=("$entry")
done < <(grep -v '^ *$' KNOWN-RED.txt 2>/dev/null)
skip=()
[ "${#red_tests[@]}" -eq 0 ] || skip=(-skip "$(printf '^%s$\n' "${red_tests[@]}" | sed 's|/|$/^|g' | paste -sd'|')")
# The rig plays whole fleets in real time and judges when they serve again: what runs beside it on the machine would be judged too.
harness=fernlanding/internal/harness
rollout=fernlanding/internal/harness/rollout
go test -race -timeout 5m "${skip[@]}" $(go list ./... | grep -vx -e "$harness" -e "$rollout")
go test -race -timeout 5m "${skip[@]}" "$harness"
go test -race -timeout 5m "${skip[@]}" "$rollout"
go test -timeout 5m ./internal/fleetsim  # all of its days: with -race it plays a few
for i in "${!red_tests[@]}"; do
  outcome='it passed this time'
  go test -race -timeout 5m -run "^$(sed 's|/|$/^|g' <<<"${red_tests[i]}")\$" "./${red_packages[i]}" || outcome='it failed'
  echo "known red, $outcome: ${red_entries[i]}"
done
for entry in "${red_commands[@]}"; do
  echo "known red, not run: $entry"
done
