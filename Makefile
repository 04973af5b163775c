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

demo: $(INSTALLED)
	$(BIN)/python -m demo.run

binary: $(INSTALLED)
	$(BIN)/python -m binary.build build/lycheepath

bench: $(INSTALLED)
	$(BIN)/python -m bench.latency
	$(BIN)/python -m bench.capacity
	$(BIN)/python -m bench.memory
	$(BIN)/python -m bench.start

clean:
	rm -rf $(VENV) build dist
