MODULES := ./... ./pkg/bundle/... ./pkg/endpoint/... ./pkg/job/... ./pkg/lease/... ./pkg/queue/... ./pkg/record/... ./pkg/worker/... ./pkg/dispatch/... ./pkg/leadership/... ./pkg/runtimes/... ./pkg/workflow/...
LINT_VERSION := v2.15.0
GOBIN := $(shell go env GOPATH)/bin
LINT := $(GOBIN)/golangci-lint

.PHONY: build test lint tools explore bench-batch experiments bench-capacity bench-request soak

build: ## Builds the program.
	go build -o bin/savoryhoist .

tools: ## Installs the linter.
	@$(LINT) version 2>/dev/null | grep -q "$(LINT_VERSION:v%=%)" || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: tools ## Checks format, lint and house rules.
	$(LINT) fmt --diff
	$(LINT) run $(MODULES)
	go vet -tags experiments $(MODULES)
	sh .ci/house-rules

test: lint ## Runs every check: format, lint, vet, tests with the race detector, build.
	go test -race $(MODULES)
	go build $(MODULES)
	@echo '{"target":"test","passed":true}'

.PHONY: bench-log
bench-log: ## Measures appends, bundles, control messages and recovery.
	@go run . bench log

bench-request: build ## Compares routing policies and measures hops; longer: bin/savoryhoist bench request --help.
	bin/savoryhoist bench request

bench-batch: build ## Measures placement, the guard and the start of urgent work.
	@bin/savoryhoist bench batch

experiments: ## Runs the experiments under experiments/ on real processes; SEED=n repeats one, ONLY=name runs one, BASELINE=program compares with an earlier version.
	@rm -rf out/experiments
	@go test -v -tags experiments -count=1 -timeout 15m -run 'TestExperiments/$(ONLY)' ./experiments; status=$$?; \
		go run ./tools/plot $$(dirname out/experiments/*/result.json); \
		cat out/experiments/summary.json; exit $$status

bench-capacity: build ## Measures the slopes of docs/CAPACITY.md; savoryhoist bench capacity --help says how to run longer.
	bin/savoryhoist bench capacity

soak: ## Runs real processes under faults; SEED=n begins with another seed, SEEDS=n runs more.
	SOAK_SEED=$(or $(SEED),1) SOAK_SEEDS=$(if $(filter file,$(origin SEEDS)),1,$(SEEDS)) go test -count=1 -v -timeout 60m ./soak

SEEDS ?= 10000

explore: build ## Explores the deciding code over 10,000 seeds; SEEDS=n explores fewer, SEED=n repeats one.
	bin/savoryhoist bench explore $(if $(SEED),--first-seed $(SEED) --seeds 1,--seeds $(SEEDS))
