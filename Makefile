# kumquatwing: build, test and demo targets, described in README.md.

GO ?= go
BIN := bin
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo dev)
LDFLAGS := -X kumquatwing/internal/version.Version=$(VERSION)

.PHONY: all build fmt fmt-check lint vet unit test demo bench proof capacity clean mutants soak

all: build

build:
	$(GO) build -ldflags '$(LDFLAGS)' -o $(BIN)/ ./cmd/...

fmt:
	$(GO) tool gofumpt -w cmd internal platform proof capacity docs

fmt-check:
	@out=$$($(GO) tool gofumpt -l cmd internal platform proof capacity docs); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...
	$(GO) vet -tags proof ./proof
	$(GO) vet -tags capacity ./capacity

lint:
	$(GO) tool staticcheck ./...
	$(GO) tool staticcheck -tags proof ./proof
	$(GO) tool staticcheck -tags capacity ./capacity

unit:
	$(GO) test -timeout 9m ./...

test: fmt-check vet lint build unit

clean:
	rm -rf $(BIN)

demo: build
	BIN=$(BIN) scripts/demo.sh

# Runs the fault tests with real processes, whose results docs/PROOF.md reports;
# about five minutes.
proof: build
	scripts/proof.sh

# Measures the points and slopes in docs/CAPACITY.md with real processes on
# loopback addresses; about six minutes.
capacity: build
	$(GO) test -tags capacity -count=1 -timeout 15m -v ./capacity

# Runs every benchmark suite once; about three minutes.
bench:
	GO=$(GO) scripts/bench.sh

# Mutation tests: builds with one protection removed, which the tests in proof/ must
# detect.
mutants: build
	scripts/mutants.sh

# Soak test of the real programs under random faults: SEEDS runs with the seeds
# FROM, FROM+1 and so on, with SECONDS of faults each.
SEEDS ?= 50
FROM ?= 1000
SECONDS ?= 6
soak:
	SOAK_SEEDS=$(SEEDS) SOAK_FROM=$(FROM) SOAK_SECONDS=$(SECONDS) $(GO) test ./platform -run TestSoak -count=1 -v -timeout 60m
