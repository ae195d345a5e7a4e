#!/usr/bin/env bash
# Runs the tests in proof/ with real processes. Prints one line per test and its
# messages, then the numbers of passed and failed tests. The binaries must be
# built.
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
${GO:-go} test -tags proof -count=1 -timeout 25m -parallel "${PARALLEL:-3}" -v ./proof >"$out" 2>&1
status=$?
grep -E '^ *--- |_test.go:[0-9]+: ' "$out" | cut -c1-400
passed=$(grep -cE '^ *--- PASS: Test(Faults/|[A-EG-Z])' "$out")
failed=$(grep -cE '^ *--- FAIL: Test(Faults/|[A-EG-Z])' "$out")
echo "$passed passed, $failed failed"
exit $status
