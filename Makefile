MODULES := core control ctl node platform standin
PROGRAMS := bin/samphire-control bin/samphire-node bin/samphire bin/samphire-standin
TOOLS := $(shell go env GOPATH)/bin

export GOFLAGS := -buildvcs=false

.PHONY: all build run test tools format lint vet unit scenarios known measure slopes fuzz clean

all: build

build:
	@mkdir -p bin
	go build -o bin/samphire-control ./control
	go build -o bin/samphire-node ./node
	go build -o bin/samphire ./ctl
	go build -o bin/samphire-standin ./standin

run: build
	./scripts/run.sh

# All checks.
test: format lint vet unit scenarios known

tools:
	test -x $(TOOLS)/golangci-lint || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
	test -x $(TOOLS)/gofumpt || go install mvdan.cc/gofumpt@v0.12.0
	test -x $(TOOLS)/goimports || go install golang.org/x/tools/cmd/goimports@v0.52.0

format: tools
	@files=$$(git ls-files -co --exclude-standard '*.go' | xargs $(TOOLS)/gofumpt -extra -l); \
	  test -z "$$files" || { echo "gofumpt would change:"; echo "$$files"; exit 1; }
	@files=$$(git ls-files -co --exclude-standard '*.go' | xargs $(TOOLS)/goimports -local samphiremount.example -l); \
	  test -z "$$files" || { echo "goimports would change:"; echo "$$files"; exit 1; }

lint: tools
	./scripts/bare_go.sh
	@for module in $(MODULES); do \
	  echo "lint $$module"; (cd $$module && $(TOOLS)/golangci-lint run --allow-parallel-runners --config ../.golangci.yml ./...) || exit 1; done

vet: build
	@for module in $(MODULES); do (cd $$module && go vet ./...) || exit 1; done

# Tests of every module with the race detector; state machine tests use a fixed seed. Tests of known faults are skipped;
# make known prints them.
unit:
	./scripts/unit.sh

# Scenarios, which run a fleet of real processes.
scenarios: build
	./scripts/scenarios.sh

# Prints the known faults that are not fixed yet, with their tests.
known:
	./scripts/known.sh

# Prints the measurements of latency, configuration changes, the replicated log, rate limiting and outlier detection.
measure: build
	./scripts/measure.sh

# Measures how the costs of a fleet grow with its size.
slopes: build
	./scripts/slopes.sh

# The tests of every module, with 5,000 checks for each state machine test and a random seed.
fuzz:
	RAPID_CHECKS=5000 RAPID_SEED=0 ./scripts/unit.sh

clean:
	rm -rf bin
