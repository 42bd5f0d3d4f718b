# Targets: build, platform, test, race, lint, fuzz, demo, soak, sidecar-soak, crowd, bench, convergence. README.md explains each.
BINARIES := tarragond tarragonctl tarragon-load tarragon-standin
SEED ?= 1
DURATION ?= 60s
FUZZTIME ?= 20s
DEPLOYMENT ?= trust
NODES ?= 21
SEEDS ?= 1-10
LENGTH ?= 12s
SOAK_NODES ?= 3

.PHONY: all platform build test race lint demo soak soak-short sidecar-soak crowd bench convergence fuzz bin/harness

all: build

build:
	go build -o bin/ $(addprefix ./cmd/,$(BINARIES))

# The build line of deploy/system.toml, as the users' platform runs it.
platform:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	go vet -tags crowd ./platform/crowd
	go tool staticcheck ./...

# The seeds of property tests are fixed, so that a run gives the same verdict every time.
test:
	SEED=$(SEED) scripts/test.sh

# The tests of the packages under the race detector, which needs a C compiler. The sidecar of the soak is
# built with it too: GOFLAGS=-race make sidecar-soak.
race:
	go test -race -count=1 ./internal/... ./cmd/...

bin/harness: build
	go build -o bin/harness ./test/harness

# Every fuzz test, one after the other, for FUZZTIME each.
fuzz:
	FUZZTIME=$(FUZZTIME) scripts/fuzz.sh

# Added latency and requests per core for one and two hops, beside a direct call.
bench: bin/harness
	bin/harness bench --seed $(SEED)

# The main job: a whole deployment as separate processes, under load, with a
# failing server and a withdrawal.
demo: bin/harness
	bin/harness demo --deployment $(DEPLOYMENT) --seed $(SEED)

# A bounded run under randomised faults; the schedule follows from SEED.
soak: bin/harness
	bin/harness soak --deployment $(DEPLOYMENT) --seed $(SEED) --duration $(DURATION)

# Short soaks with fixed seeds, for CI.
soak-short: bin/harness
	scripts/soak-short.sh

# The sidecar as separate processes under randomised faults, a run for each seed.
# One run at a time on a machine, because its ports are fixed.
sidecar-soak:
	go test ./platform/soak -count 1 -timeout 0 -v -seeds $(SEEDS) -length $(LENGTH) -nodes $(SOAK_NODES)

# Crowds of clients that misbehave, each against a sidecar process of its own. Nothing else should run
# beside it.
crowd:
	scripts/crowd.sh

# Time from approval to in force everywhere, and the cost of control of a node.
convergence: bin/harness
	bin/harness convergence --nodes $(NODES)
