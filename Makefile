# Start with `make demo` and `make test`.
BUILD ?= build
JOBS ?= $(shell nproc)
PROGRAMS = $(BUILD)/bin

.PHONY: all deps build demo test check format measure measure-slopes clean

all: build

deps:
	@sh tools/install-deps.sh

build: deps
	@cmake -S . -B $(BUILD) -DTOUCAN_WERROR=ON > $(BUILD).configure.log 2>&1 || { cat $(BUILD).configure.log; exit 1; }
	@rm -f $(BUILD).configure.log
	@cmake --build $(BUILD) -j $(JOBS)

demo: build
	$(PROGRAMS)/toucanlab run --scenario testsuite/scenarios/two-users.json --programs $(PROGRAMS)

test: build
	sh tools/run-tests.sh $(BUILD)

check: deps
	sh tools/check.sh $(BUILD)

format: deps
	git ls-files 'src/*.cpp' 'src/*.h' 'testsuite/*.cpp' 'testsuite/*.h' 'platform/*.cpp' 'platform/*.h' | grep -v generated | xargs clang-format -i

clean:
	rm -rf $(BUILD)

# Benchmarks seen from the callers, for the system and for the plain baseline.
measure: build
	$(PROGRAMS)/toucanlab run --scenario testsuite/scenarios/measure.json --programs $(PROGRAMS)
	$(PROGRAMS)/toucanlab relay-benchmark --programs $(PROGRAMS)

# Measures how cost grows with size; docs/CAPACITY.md is derived from the results.
measure-slopes: build
	$(PROGRAMS)/toucanlab slopes
