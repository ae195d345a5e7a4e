#!/usr/bin/env bash
# Runs every suite of benchmarks once and prints its figures. Where a suite has
# a yardstick beside the measured way (a thin proxy, bbolt, a baseline
# scheduler), the ratio is printed with it.
set -uo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}
out=$(mktemp)
trap 'rm -f "$out"' EXIT
status=0

# suite PACKAGE BENCHTIME PATTERN runs the benchmarks of one package.
suite() {
  echo "== $1"
  # shellcheck disable=SC2086
  $GO test -run '^$' -bench "$3" -benchtime "$2" -count 1 -timeout 120s "./internal/$1" 2>&1 |
    grep -E '^(Benchmark|FAIL|panic|ok|---)' | tee -a "$out"
  [ "${PIPESTATUS[0]}" = 0 ] || status=1
}

suite placement 3x .
suite systems 20x .
suite fleet 500x .
suite storage 200x .
suite replica 1x 'Traffic|Snapshot'
suite replica 300x Writes
suite replica 3x Failover
suite entry 2000x 'BenchmarkPath$'

# figure NAME UNIT prints the value of one unit in one benchmark's line.
figure() {
  grep -E "^$1(-[0-9]+)?[[:space:]]" "$out" | awk -v unit="$2" '{for (i = 2; i < NF; i++) if ($(i + 1) == unit) {print $i; exit}}'
}

# ratio LABEL NAME YARDSTICK UNIT prints NAME's figure divided by YARDSTICK's.
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
