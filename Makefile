# Targets for developers; each one sets up the environment that it needs.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test format lint types layers unit proofs demo bench bench-compare regression binary clean

setup: $(STAMP)

$(STAMP): requirements/develop.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements/develop.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

test: lint types layers unit

format: setup
	$(BIN)/ruff format comfreywind tests bench

lint: setup
	$(BIN)/ruff format --check comfreywind tests bench
	$(BIN)/flake8 comfreywind tests bench

types: setup
	$(BIN)/mypy

layers: setup
	$(BIN)/lint-imports --no-cache

unit: setup
	$(BIN)/pytest

demo: setup
	$(BIN)/python -m bench.demo
	$(BIN)/python -m bench.job_demo

bench: setup
	$(BIN)/python -m bench.run

bench-compare: setup
	$(BIN)/python -m bench.compare $(OLD) build/bench.json

# FLEETBENCH is the users' bench, SITES the folder above their site files.
regression:
	@for name in $$(grep -v '^#' deploy/regression.txt); do \
		$(FLEETBENCH) score $$(find $(SITES) -name "$$name.toml") --why "regression" || exit 1; \
	done

binary: setup
	$(BIN)/python -m bench.build_binary

clean:
	rm -rf build dist $(VENV)
