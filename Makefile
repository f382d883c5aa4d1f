# Two commands set up a fresh machine by themselves: `make demo` and `make test`.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: packages build demo test soak format lint package

packages:
	tools/install-packages.sh

build: packages
	cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j$(JOBS)

demo: build
	python3 standins/harness/demo.py $(BUILD)
	python3 standins/harness/cookie_demo.py $(BUILD)

test: build
	python3 tools/run-tests.py $(BUILD) --jobs $(JOBS)

soak: build
	tools/soak --build $(BUILD) --minutes 3

format: packages
	git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror

lint: build
	git ls-files '*.cpp' | xargs -P $(JOBS) -n 1 clang-tidy -p $(BUILD) --quiet

package: build
	cd $(BUILD) && cpack
