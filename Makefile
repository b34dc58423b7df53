# `make demo` and `make test` need Python 3.11, pip and make, nothing else.

PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed
DEMO_STAMP := $(VENV)/.installed-demo

REVIEW_CASES := 1 2 3 4 5 6 8 9 more/takeup more/history

.PHONY: demo test lint format review clean

$(STAMP): pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

# The demo needs neither linters nor test tools nor plots.
$(DEMO_STAMP): requirements-demo.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements-demo.txt
	touch $(DEMO_STAMP)

demo: $(DEMO_STAMP)
	$(VENV)/bin/python -m bench.command demo

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/flake8 greengagetrack bench tests

test: lint
	$(VENV)/bin/pytest

format: $(STAMP)
	$(VENV)/bin/ruff format .

target/deps: deploy/requirements.txt
	$(PYTHON) -m pip install --quiet --upgrade --target $@ \
		--requirement $<
	touch $@

# Plays each case of the review on real entries, and prints a line for it.
review: target/deps
	@for case in $(REVIEW_CASES); do \
		printf '%s: ' $$case; bash review/$$case/run.sh | sed -n 1p; \
	done

clean:
	rm -rf $(VENV) build *.egg-info
