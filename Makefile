# Entry points for people and CI. Every target works on a fresh Debian 12 machine.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: packages build test demo bench scenarios soak report format lint clean

packages:
	@scripts/install-packages

build: packages
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > $(BUILD).log 2>&1 || (cat $(BUILD).log; exit 1)
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	@scripts/demo $(BUILD)/bin

bench: build
	@scripts/bench $(BUILD)/bin

scenarios: build
	@scripts/scenarios $(BUILD)/bin long

SEED ?= 1
COUNT ?= 4
soak: build
	@scripts/soak $(BUILD)/bin $(SEED) $(COUNT)

report: build
	@scripts/report $(BUILD)/bin

format:
	@git ls-files '*.cpp' '*.hpp' | xargs clang-format -i

lint: build
	@scripts/lint $(BUILD)

clean:
	rm -rf $(BUILD) $(BUILD).log
