PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed
CHECKED := src tests platform $(wildcard benchmarks)

.PHONY: demo test format

$(STAMP): requirements.lock pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/python -m cranberryseam.experiments.demo

test: $(STAMP)
	$(VENV)/bin/ruff format --check $(CHECKED)
	$(VENV)/bin/ruff check $(CHECKED)
	$(VENV)/bin/flake8 src platform
	$(VENV)/bin/mypy
	MYPYPATH=src:platform $(VENV)/bin/mypy --package adapter
	$(VENV)/bin/python -m pytest

format: $(STAMP)
	$(VENV)/bin/ruff check --fix $(CHECKED)
	$(VENV)/bin/ruff format $(CHECKED)
