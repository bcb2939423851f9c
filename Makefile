# Targets: test (format check, lint, build, tests), demo, measure, capacity,
# soak, generate, gopls.
BIN := $(CURDIR)/bin
LINT_VERSION := v2.15.0
GOA_VERSION := v3.25.3
GOPLS_VERSION := v0.22.0
# Seeds of TestSoak in ./platform: from the first up to but not including the
# last.
SEEDS ?= 1:51
LINT := $(BIN)/golangci-lint-$(LINT_VERSION)
GOPLS := $(BIN)/gopls-$(GOPLS_VERSION)

.PHONY: test demo lint build unit gopls generate measure capacity soak

test: lint build unit

demo: build
	$(BIN)/mulberryspoke demo --once

$(LINT):
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv $(BIN)/golangci-lint $(LINT)

# Renames an identifier with all its uses:
# bin/gopls-VERSION rename -w FILE:LINE:COLUMN NAME
$(GOPLS):
	GOBIN=$(BIN) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(BIN)/gopls $(GOPLS)

gopls: $(GOPLS)

# golangci-lint also reports files that gofumpt and goimports would change.
lint: $(LINT)
	$(LINT) run ./...

build:
	go build -o $(BIN)/ ./cmd/...

unit:
	bash .ci/unit

soak: build
	MULBERRYSPOKE_SOAK=1 MULBERRYSPOKE_RACE=1 go test -count=1 -timeout 60m ./integration/...
	MULBERRYSPOKE_SOAK_SEEDS=$(SEEDS) go test -count=1 -timeout 60m -run TestSoak ./platform

measure: build
	$(BIN)/mulberryload measure --out docs

capacity: build
	$(BIN)/mulberryload capacity

generate:
	go run goa.design/goa/v3/cmd/goa@$(GOA_VERSION) gen mulberryspoke.example/mulberryspoke/design
