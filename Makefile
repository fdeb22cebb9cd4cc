# `make demo` and `make test` need only Python 3.11 and git.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := base policy wire node cli standins
STAMP := $(VENV)/.installed
PROJECTS := $(foreach p,$(PACKAGES),packages/sassafras-$(p)/pyproject.toml) \
  platform/pyproject.toml

.PHONY: demo demo-shell emulate soak test measure capacity lint format docs setup

setup: $(STAMP)

$(STAMP): constraints.txt Makefile $(PROJECTS)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt setuptools wheel
	$(BIN)/python -m pip install --quiet -c constraints.txt --no-build-isolation \
	  $(foreach p,$(PACKAGES),-e packages/sassafras-$(p)) \
	  -e platform pytest hypothesis ruff mypy
	touch $@

demo: $(STAMP)
	$(BIN)/python -m sassafras_standins.demo

demo-shell: $(STAMP)
	$(BIN)/python -m sassafras_standins.demo --keep

emulate: $(STAMP)
	$(BIN)/python -m sassafras_standins.platform

soak: $(STAMP)
	$(BIN)/python -m sassafras_standins.soak

test: $(STAMP)
	$(BIN)/python -m pytest tests

measure: $(STAMP)
	$(BIN)/python -m sassafras_standins.measure

lint: $(STAMP)
	$(BIN)/ruff format --check packages platform deploy tests tools
	$(BIN)/ruff check packages platform deploy tests tools
	$(BIN)/python tools/check_imports.py
	$(BIN)/mypy packages/*/src platform/src

format: $(STAMP)
	$(BIN)/ruff format packages platform deploy tests tools
	$(BIN)/ruff check --fix packages platform deploy tests tools

docs: $(STAMP)
	$(BIN)/python tools/generate_docs.py

capacity: $(STAMP)
	$(BIN)/python -m sassafras_standins.capacity
