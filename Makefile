# `make demo` and `make test` need Python 3.11, pip and make, nothing else.

PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: demo test lint format clean

$(STAMP): pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/greengagebench demo

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/flake8 greengagetrack bench tests

test: lint
	$(VENV)/bin/pytest

format: $(STAMP)
	$(VENV)/bin/ruff format .

clean:
	rm -rf $(VENV) build *.egg-info
