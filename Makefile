# Targets: build, test, lint, bench; gen needs buf and its two plugins.
GO ?= go

.PHONY: build test lint bench gen demo fuzz

build:
	$(GO) build -o stilemast .

test:
	$(GO) test ./...

lint:
	@unformatted=$$(gofmt -l main.go src); test -z "$$unformatted" || { echo "not gofmt-clean: $$unformatted"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

demo:
	$(GO) run . demo

gen:
	buf generate

faults:
	$(GO) test ./src/faults -run TestMatrix -update
