VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: env demo test lint format bench

env: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: env
	$(BIN)/python -m bench.demo

lint: env
	$(BIN)/ruff format --check src tests bench
	$(BIN)/ruff check src tests bench
	$(BIN)/mypy

format: env
	$(BIN)/ruff format src tests bench
	$(BIN)/ruff check --fix src tests bench

test: lint
	$(BIN)/python -m pytest $(PYTEST_OPTIONS)

bench: env
	$(BIN)/python -m bench.run
