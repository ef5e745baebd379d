# Targets for people and for .ci/run. Everything builds into bin/.

PROGRAMS := hvgate hvside hvctl hvfake
MODULES := . $(addprefix ./cmd/,$(PROGRAMS))
VERSION ?= $(shell git describe --tags --always --dirty 2>/dev/null || echo dev)

.PHONY: all build test lint fmt demo measure slopes soak budget direct clean

all: build

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do \
		go build -ldflags "-X main.version=$(VERSION)" -o bin/$$p ./cmd/$$p || exit 1; \
	done

# Packages of every module in the workspace.
PACKAGES := $(addsuffix /...,$(MODULES))

# The tests listed in KNOWN-RED.txt are passed over and printed. SKIP is a pattern of
# further tests to pass over: make test SKIP='^TestName$$'.
test:
	SKIP='$(SKIP)' sh scripts/test.sh $(PACKAGES)

lint:
	@out=$$(go tool gofumpt -l .); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

fmt:
	go tool gofumpt -w .

demo: build
	sh scripts/demo.sh

# Compares the policies with their baselines; see docs/decisions.md.
measure:
	go run ./hvmeasure/hvmeasurecmd

# Prints the costs by the size of the fleet; see docs/CAPACITY.md.
slopes:
	go run ./hvslope/hvslopecmd

# Random tests with new seeds for a number of minutes: make soak MINUTES=30.
MINUTES ?= 10
soak:
	sh scripts/soak.sh $(MINUTES)

# Processor time, memory and bytes of a gate and a side.
budget: build
	sh scripts/budget.sh

# Latency through gate and side against direct calls.
direct: build
	sh scripts/direct.sh

clean:
	rm -rf bin
