# Every target works from a fresh clone; VENV may name a shared environment.
VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
PACKAGES := core wire daemon cli standins gateway
SOURCES := $(foreach name,$(PACKAGES),$(CURDIR)/packages/$(name)) $(CURDIR)/platform
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(SOURCES)):$(CURDIR)
CODE := packages platform tests bench soak tools
STAMP := $(VENV)/.almonddock-$(shell cat constraints.txt requirements.txt | cksum | cut -d' ' -f1)

.PHONY: setup test lint format demo bench soak report

setup: $(STAMP)

$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -r requirements.txt
	$(BIN)/pip install --quiet -c constraints.txt --no-deps --no-build-isolation $(foreach name,$(PACKAGES),-e packages/$(name))
	touch $(STAMP)

test: setup
	$(BIN)/python -m tools.run_tests $(TESTS)

lint: setup
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/flake8 -j 4 $(CODE)
	$(BIN)/mypy $(CODE)

format: setup
	$(BIN)/ruff check --fix --select I,UP $(CODE)
	$(BIN)/ruff format $(CODE)

demo: setup
	$(BIN)/python -m almonddock_standins.demo

bench: setup
	$(BIN)/python -m bench $(EXPERIMENT)

soak: setup
	$(BIN)/python -m soak run --seed $(or $(SEED),0) --runs $(or $(RUNS),1)

report: setup
	$(BIN)/python -m almonddock_cli report bench/results
