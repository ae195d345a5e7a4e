# kumquatwing: the commands of README.md.

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

# The cells of docs/PROOF.md that need real processes; about five minutes.
proof: build
	scripts/proof.sh

# The points and slopes of docs/CAPACITY.md, from real processes on loopback
# addresses; about six minutes.
capacity: build
	$(GO) test -tags capacity -count=1 -timeout 15m -v ./capacity

# Every suite of benchmarks once; about three minutes.
bench:
	GO=$(GO) scripts/bench.sh

# Builds with one protection taken out, which the proofs must notice.
mutants: build
	scripts/mutants.sh

# The fault soak of the real programs, with seeds of its own: SEEDS of them from
# FROM on, SECONDS of faults each.
SEEDS ?= 50
FROM ?= 1000
SECONDS ?= 6
soak:
	SOAK_SEEDS=$(SEEDS) SOAK_FROM=$(FROM) SOAK_SECONDS=$(SECONDS) $(GO) test ./platform -run TestSoak -count=1 -v -timeout 60m
