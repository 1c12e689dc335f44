MODULES := ./... ./pkg/bundle/... ./pkg/endpoint/... ./pkg/job/... ./pkg/lease/... ./pkg/record/... ./pkg/worker/...
LINT_VERSION := v2.15.0
GOBIN := $(shell go env GOPATH)/bin
LINT := $(GOBIN)/golangci-lint

.PHONY: bench-request build test lint tools

build: ## Builds the program.
	go build -o bin/savoryhoist .

tools: ## Installs the linter.
	@$(LINT) version 2>/dev/null | grep -q "$(LINT_VERSION:v%=%)" || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: tools ## Checks format, lint and house rules.
	$(LINT) fmt --diff
	$(LINT) run $(MODULES)
	go vet $(MODULES)
	sh .ci/house-rules

test: lint ## Runs every check: format, lint, vet, tests with the race detector, build.
	go test -race $(MODULES)
	go build $(MODULES)
	@echo '{"target":"test","passed":true}'

bench-request: build ## Compares routing policies and measures hops; longer: bin/savoryhoist bench request --help.
	bin/savoryhoist bench request
