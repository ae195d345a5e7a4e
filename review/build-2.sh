#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. It needs no network: the
# stand-ins use the standard library only.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
cd "$root/review/standins-2"
GOFLAGS= GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o "$root/target/review-2/reviewcases" .
