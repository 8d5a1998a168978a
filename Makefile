# Builds, checks and runs acaciaspar. See README.md.
GO ?= go

# Tests named in KNOWN-RED.txt are skipped.
RED = $(shell sed -n 's/^test: *\([A-Za-z0-9_]*\)$$/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP = $(if $(RED),-skip '^($(RED))$$')

.PHONY: build test lint generate demo bench clean

build:
	$(GO) build -o bin/ ./cmd/... ./testbed/cmd/...

# The end-to-end tests run the binaries in bin/, which the test cache doesn't
# track. -count=1 prevents cached results of older binaries.
test: build
	@if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi
	$(GO) test -race $(SKIP) ./...
	$(GO) test -race -count=1 $(SKIP) ./testbed/...

lint:
	@files=$$(gofmt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$' | grep -v '\.twirp\.go$$')); \
	if [ -n "$$files" ]; then echo "gofmt: $$files"; exit 1; fi
	$(GO) vet ./... ./testbed/...
	$(GO) tool staticcheck ./... ./testbed/...

generate:
	mkdir -p bin/tools
	$(GO) build -o bin/tools/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
	PATH="$(CURDIR)/bin/tools:$$PATH" protoc --go_out=. --go_opt=paths=source_relative \
		--twirp_out=. --twirp_opt=paths=source_relative protocol/fleetpb/fleet.proto protocol/fleetpb/direct.proto

demo: build
	scripts/demo.sh

bench: build
	bin/acaciaspar-bench run -json docs/bench.json -plot docs/fairness.svg testbed/bench/workloads/*.yaml

clean:
	rm -rf bin
