VENV ?= .venv
PYTHON := $(VENV)/bin/python

.PHONY: demo test measure setup

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --editable .
	touch $@

demo: setup
	$(PYTHON) -m measure.demo

test: setup
	$(PYTHON) -m tools.run_features

measure: setup
	$(PYTHON) -m measure
