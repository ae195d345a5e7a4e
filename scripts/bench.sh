#!/usr/bin/env bash
# Runs every benchmark suite once and prints the results. Where a suite also runs
# a baseline (a thin proxy, bbolt, a baseline scheduler), the ratio to the baseline
# is printed too.
set -uo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}
out=$(mktemp)
trap 'rm -f "$out"' EXIT
status=0

# suite PACKAGE BENCHTIME PATTERN runs the benchmarks of one package that match
# the pattern.
suite() {
  echo "== $1"
  # shellcheck disable=SC2086
  $GO test -run '^$' -bench "$3" -benchtime "$2" -count 1 -timeout 120s "./internal/$1" 2>&1 |
    grep -E '^(Benchmark|FAIL|panic|ok|---)|ns/op' | tee -a "$out"
  [ "${PIPESTATUS[0]}" = 0 ] || status=1
}

suite placement 1x .
suite systems 20x .
suite fleet 100x .
suite storage 200x .
suite replica 1x 'Traffic|Snapshot'
suite replica 300x Writes
suite replica 3x Failover
suite entry 2000x 'BenchmarkPath$'

# figure NAME UNIT prints the result of benchmark NAME in the given unit.
figure() {
  grep -E "^$1(-[0-9]+)?[[:space:]]" "$out" | awk -v unit="$2" '{for (i = 2; i < NF; i++) if ($(i + 1) == unit) {print $i; exit}}'
}

# ratio LABEL NAME BASELINE UNIT prints the result of benchmark NAME divided by that
# of BASELINE.
ratio() {
  local a b
  a=$(figure "$2" "$4")
  b=$(figure "$3" "$4")
  if [ -n "$a" ] && [ -n "$b" ]; then
    awk -v l="$1" -v a="$a" -v b="$b" 'BEGIN {printf "%s: %s / %s = %.2f\n", l, a, b, a / b}'
  else
    echo "$1: not measured"
  fi
}

echo "== ratios"
ratio "kqentry at 100 in flight, requests/s to a thin proxy's" BenchmarkPath/idempotent/100 BenchmarkPath/thin/100 req/s
ratio "recorded at 100 in flight, requests/s to a thin proxy's" BenchmarkPath/recorded/100 BenchmarkPath/thin/100 req/s
ratio "log append, time to bbolt's" BenchmarkDiskAppend BenchmarkBboltAppend ns/op
exit $status
