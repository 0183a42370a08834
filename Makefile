# Run `make help` for a list of the targets.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
export PYTHONPATH := $(CURDIR)

.DEFAULT_GOAL := help

help:  ## List the targets.
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:[^#]*## /\t/'

$(STAMP): requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
		--requirement requirements-dev.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
		--no-deps --editable .
	touch $@

setup: $(STAMP)  ## Create the virtual environment and install the locked dependencies.

lint: $(STAMP)  ## Check formatting and run the linter; changes no files.
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)  ## Format the code and apply the linter's automatic fixes.
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

test: $(STAMP)  ## Run all tests; the last line is `N passed, N failed`.
	$(PYTHON) -m tests.runner

site: $(STAMP)  ## Run the site of the demo without load, until Ctrl-C.
	$(PYTHON) extras/demo/serve.py

measure: $(STAMP)  ## Run all measurements; fails if a bound does not hold.
	$(PYTHON) -m kumquatshift.measures

samples: $(STAMP)  ## Regenerate the sample settings and their page.
	$(PYTHON) -m kumquatshift.settings.sample

demo: $(STAMP)  ## Run a complete site under load on loopback; takes at most 60 s.
	$(PYTHON) extras/demo/run.py

demo-platform: $(STAMP)  ## Run a site with direct return on loopback; takes 30 s.
	$(PYTHON) extras/demo_platform.py

soak: $(STAMP)  ## Run the soak test once with a new seed.
	$(PYTHON) -m tests.soak --seed $$(date +%s)

report: $(STAMP)  ## Plot the scores of the users' bench to build/report.
	$(PYTHON) extras/report.py

proto: $(STAMP)  ## Regenerate the committed protobuf and gRPC code.
	$(PYTHON) -m grpc_tools.protoc -I . --python_out=. --grpc_python_out=. \
		kumquatshift/wire/entry.proto

.PHONY: help setup lint format test demo demo-platform site \
	measure samples soak report proto
