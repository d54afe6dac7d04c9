VENV ?= .venv
PYTHON := $(VENV)/bin/python
SHELL := /bin/bash

.PHONY: setup demo test soak soak-short format lint types binary ci \
        bench-cost bench-load bench-state bench-capacity bench-contention \
        bench-failures plots

# The stamp is newer than the lock once everything the lock names is installed.
$(VENV)/.installed: requirements/dev.lock
	test -x $(PYTHON) || python3.11 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements/dev.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $@

setup: $(VENV)/.installed

demo: setup
	$(PYTHON) -m fuchsiaroute demo

test: setup
	$(PYTHON) -m pytest -n 4 --dist worksteal

format: setup
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

lint: setup
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

types: setup
	$(PYTHON) -m mypy

binary: setup
	bash scripts/build-binary $(PYTHON)

bench-cost: setup
	$(PYTHON) -m benches.bench_cost

bench-load: setup
	$(PYTHON) -m benches.bench_load

bench-state: setup
	$(PYTHON) -m benches.bench_state

bench-capacity: setup
	$(PYTHON) -m benches.bench_capacity

bench-contention: setup
	$(PYTHON) -m benches.bench_contention

bench-failures: setup
	$(PYTHON) -m benches.bench_failures

plots: setup
	$(PYTHON) -m benches.plots

# Fresh seeds, and those that once failed.
soak: setup
	$(PYTHON) -m soak --fresh 12 --kept --jobs 4

# Fixed seeds, without the bounds that a busy machine breaks.
soak-short: setup
	$(PYTHON) -m soak 1 2 3 4 5 6 7 8 --kept --jobs 4 --seconds 10 --no-timed

ci: lint types test soak-short
