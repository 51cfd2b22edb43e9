# Chores for maintainers. `make help` lists them.
VENV ?= .venv
PYTHON ?= python3
# Tests wait for real time more than for a processor.
TEST_PROCESSES ?= 4
RUN = $(VENV)/bin/python
STAMP = $(VENV)/.installed

.PHONY: help install format lint types test demo up dist measure clean

help:
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

$(STAMP): pyproject.toml requirements/lock.txt
	@test -x $(RUN) || $(PYTHON) -m venv $(VENV)
	@$(RUN) -m pip install -q --disable-pip-version-check -r requirements/lock.txt >&2
	@$(RUN) -m pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e . >&2
	@touch $(STAMP)

install: $(STAMP) ## install the project and its tools into $(VENV)

format: $(STAMP) ## format the code
	$(RUN) -m ruff check -q --fix --select I .
	$(RUN) -m ruff format -q .

lint: $(STAMP) ## check format, style and types
	$(RUN) -m ruff format -q --check .
	$(RUN) -m ruff check -q .
	$(RUN) -m flake8 .
	$(RUN) -m mypy

test: lint ## check style and types, then run the tests
	$(RUN) -m pytest -n $(TEST_PROCESSES) --dist loadfile

demo: $(STAMP) ## run the whole path on loopback, a line a step
	@$(RUN) -m lab.demo

up: $(STAMP) ## start the sample deployment and stay until a signal
	@exec $(RUN) -m lab.up

measure: $(STAMP) ## run all measurements, write tables, JSON and plots
	$(RUN) -m lab.measure

dist: $(STAMP) ## build the single executable file dist/ebonywell
	mkdir -p dist
	$(RUN) -m shiv --compressed -c ebonywell -p '/usr/bin/env python3' \
		-o dist/ebonywell --quiet --constraint requirements/lock.txt .

clean: ## remove what builds and runs left
	rm -rf build dist var *.egg-info .mypy_cache .ruff_cache .pytest_cache
