PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

SEEDS ?= 1-3

.PHONY: demo test lint format model bench mutants capacity soak binary binary-test clean

$(STAMP): requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m harness.demo

test: $(STAMP)
	$(BIN)/python -m pytest -q

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

mutants: $(STAMP)
	$(BIN)/python -m harness.mutants

model: $(STAMP)
	$(BIN)/python -m spec

bench: $(STAMP)
	$(BIN)/python -m bench

soak: $(STAMP)
	$(BIN)/python -m soak --seeds $(SEEDS)

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

binary: $(STAMP)
	$(BIN)/python -m harness.binary

binary-test: binary
	$(BIN)/python -m harness.binary --smoke

clean:
	rm -rf $(VENV) build dist
