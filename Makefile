# Two commands set up everything on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
BIN := .venv/bin

.venv/.ready: pyproject.toml requirements.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch .venv/.ready

.PHONY: setup demo test check
setup: .venv/.ready

demo: .venv/.ready
	$(BIN)/python -m demo

check: .venv/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

test: check
	$(BIN)/python -m pytest

.PHONY: matrix mutants pages
matrix: .venv/.ready
	$(BIN)/python -m tests.matrix

mutants: .venv/.ready
	$(BIN)/python -m tests.mutants

pages: .venv/.ready
	$(BIN)/python -m tools.pages
