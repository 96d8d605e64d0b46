# Two commands set everything up on a machine with Go and make: `make demo` and `make test`.
GO            ?= go
BIN           := bin
TOOLS         := $(CURDIR)/.tools
LINT_VERSION  := v2.15.0
LINT          := $(TOOLS)/golangci-lint-$(LINT_VERSION)
FUZZTIME      ?= 20s
PROGRAMS      := corianderturn corianderctl standin loadgen
export GOFLAGS ?= -buildvcs=false

.PHONY: soak all build test lint check docs demo matrix measure slopes bench grace fuzz clean

all: build

build:
	$(GO) build -o $(BIN)/ $(addprefix ./cmd/,$(PROGRAMS))

# Each command runs even if one before it fails, which it does while a test of KNOWN-RED.txt fails. The last one
# measures processes, so it runs apart from the others.
test:
	status=0; \
	$(GO) test -race -timeout 15m $$($(GO) list ./... | grep -v /test/clients) || status=$$?; \
	$(GO) test -timeout 5m ./relay || status=$$?; \
	$(GO) test -timeout 25m ./test/clients || status=$$?; \
	exit $$status

lint: $(LINT)
	$(LINT) run ./...

$(LINT):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv $(TOOLS)/golangci-lint $(LINT)

check:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	$(GO) vet ./...
	$(GO) run ./cmd/docgen -check

docs:
	$(GO) run ./cmd/docgen

demo: build
	$(BIN)/loadgen demo --bin $(BIN)

matrix:
	$(GO) run ./cmd/matrix

measure: build
	$(BIN)/loadgen measure --bin $(BIN) --out out/measure $(if $(RUNS),--runs $(RUNS))

slopes: build
	$(BIN)/loadgen slopes --bin $(BIN) --out out/slopes

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./policy ./board ./request ./upstream ./claims ./internal/wire ./bundle ./frontend \
		./members ./orders ./steward ./router ./quarantine ./ratelimit ./reach

# Seconds until memory is free, a leaving upstream is left out, a version is in force.
grace:
	$(GO) test -run '^$$' -bench Grace -benchtime 5x ./test/failure

fuzz:
	$(GO) test -run '^$$' -fuzz FuzzReader -fuzztime $(FUZZTIME) ./internal/wire
	$(GO) test -run '^$$' -fuzz FuzzDecodeRecord -fuzztime $(FUZZTIME) ./bundle
	$(GO) test -run '^$$' -fuzz FuzzDecodeUpstream -fuzztime $(FUZZTIME) ./platform
	$(GO) test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME) ./settings
	$(GO) test -run '^$$' -fuzz FuzzUnpack -fuzztime $(FUZZTIME) ./relay
	$(GO) test -run '^$$' -fuzz FuzzUnpack -fuzztime $(FUZZTIME) ./quarantine

clean:
	rm -rf $(BIN) $(TOOLS) out

# Injects seeded faults into real daemons, SEEDS seeds from SEED on. SOAKFLAGS: --herd adds kills of
# all daemons while a service refuses, --teams keys and a quota, --limits upstreams that report rate
# limits (with --length 16s), --fatal callers that repeat requests which crash each upstream that runs
# them (with --length 12s), --links daemons that lose their links to the upstreams (with --length 12s),
# --silences sound upstreams that are silent for a while (with --length 12s), --planned no other faults,
# --states upstreams that say that they leave or ask for rest (with --length 12s), --endless upstreams that send without end,
# --answers upstreams that send answers twice or in part,
# --restores a store that comes back from copies (with --daemons 12 --length 21s).
soak: build
	$(GO) build -o $(BIN)/soak ./cmd/soak
	$(BIN)/soak --bin $(BIN)/corianderturn --out out/soak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),10) $(SOAKFLAGS)
