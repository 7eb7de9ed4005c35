VENV ?= .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= bureau

.PHONY: demo test format install

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[bench,dev]'
	touch $@

demo: install
	PYTHONPATH=src $(BIN)/python -m chicorycrank_standin.demo --deployment $(DEPLOYMENT)

test: install
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy
	PYTHONPATH=src $(BIN)/lint-imports --no-cache
	PYTHONPATH=src $(BIN)/python -m pytest

format: install
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests
