PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
INSTALLED := $(VENV)/.installed

.PHONY: test demo binary format check bench clean

test: $(INSTALLED)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m pytest

format: $(INSTALLED)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

$(INSTALLED): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

clean:
	rm -rf $(VENV) build dist
