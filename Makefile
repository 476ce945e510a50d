# Everything sets itself up in .venv; nothing else is needed but Python 3.11.

PYTHON ?= $(shell command -v python3.11 || command -v python3)
BIN := .venv/bin

.PHONY: setup demo test soak capacity compare format docs clean

setup: .venv/.ready

.venv/.ready: pyproject.toml requirements.lock
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--constraint requirements.lock --editable '.[lab,test]'
	touch .venv/.ready

demo: setup
	$(BIN)/martenjunction-lab demo

test: setup
	$(BIN)/python tools/run_tests.py

capacity: setup
	$(BIN)/martenjunction-lab capacity

compare: setup
	$(BIN)/martenjunction-lab compare

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

clean:
	rm -rf .venv out
