# Targets for users and developers. Every target sets up the virtual
# environment first, from the pinned versions in requirements.txt.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup format lint types unit test soak demo tour bench clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

format: setup
	$(BIN)/ruff format src tests standins bench examples soak
	$(BIN)/ruff check --fix src tests standins bench examples soak

lint: setup
	$(BIN)/ruff format --check src tests standins bench examples soak
	$(BIN)/ruff check src tests standins bench examples soak
	$(BIN)/flake8 src tests standins bench examples soak

types: setup
	$(BIN)/mypy

unit: setup
	$(BIN)/python -m pytest

test: lint types unit

soak: setup
	PYTHONPATH=src:. $(BIN)/python -m soak --seeds 1-50 --jobs 3

demo: setup
	$(BIN)/python -m examples.demo

tour: setup
	$(BIN)/python -m examples.operators_tour

bench: setup
	$(BIN)/python -m bench

clean:
	rm -rf $(VENV) build dist .mypy_cache .ruff_cache .pytest_cache
