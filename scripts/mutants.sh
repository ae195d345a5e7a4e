#!/usr/bin/env bash
# Checks that the tests in proof/ detect a missing protection. Each line of
# proof/mutants/list is one mutant: its name, a file, the text to replace, the
# replacement, the test to run and the guarantee that the test must report as
# violated. Each mutant is built in a copy of HEAD; the working tree is not changed.
# ONLY=NAME runs one mutant.
set -uo pipefail
cd "$(dirname "$0")/.."
passed=0 failed=0
while IFS='|' read -r name file from to test rule; do
  case $name in ''|'#'*) continue ;; esac
  [ -z "${ONLY:-}" ] || [ "$ONLY" = "$name" ] || continue
  copy=$(mktemp -d)
  git archive HEAD | tar -x -C "$copy"
  if ! FROM=$from TO=$to perl -0pi -e 'BEGIN{$f=$ENV{FROM};$t=$ENV{TO}} $n+=s/\Q$f\E/$t/; END{exit($n?0:1)}' "$copy/$file"; then
    echo "FAIL $name: $file no longer holds the text to replace"
    failed=$((failed + 1)); rm -rf "$copy"; continue
  fi
  if ! (cd "$copy" && ${GO:-go} build -buildvcs=false -o bin/ ./cmd/... && ${GO:-go} test -tags proof -count=1 -timeout 5m -run "$test" ./proof) >"$copy/out" 2>&1 \
    && grep -q "$rule" "$copy/out"; then
    echo "PASS $name: noticed: $(grep -m1 "$rule" "$copy/out" | sed 's/^ *//' | cut -c1-200)"
    passed=$((passed + 1))
  else
    echo "FAIL $name: not noticed by $test"
    tail -3 "$copy/out" | cut -c1-300
    failed=$((failed + 1))
  fi
  rm -rf "$copy"
done <proof/mutants/list
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
