#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. It needs the Go
# toolchain and no module but the standard library. The project's own programs come from the
# line "build" of deploy/system.toml.
set -e
cd "$(dirname "$0")/standins-3"
GOFLAGS=-mod=mod GOWORK=off go build -o bin/ ./cmd/...
