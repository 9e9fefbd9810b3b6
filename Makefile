# The developer commands.  `make demo` and `make test` need only Python 3.11.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: help demo test soak lint format clean

help:                  ## Show the commands.
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	@touch $(STAMP)

demo: $(STAMP)         ## Start a small fleet, send a recorded trace, show the result.
	$(BIN)/python -m demo

test: $(STAMP)         ## Run all tests.
	$(BIN)/python -m tests

SEED ?= 1
SEEDS ?= 10
SECONDS_EACH ?= 40

soak: $(STAMP)         ## Play soaks: make soak SEED=1 SEEDS=10.
	$(BIN)/python -m soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS_EACH) \
		--logs soak-logs

lint: $(STAMP)         ## Check the format and run the linter.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)       ## Format the code and mend what the linter can.
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

clean:                 ## Remove the virtual environment and caches.
	rm -rf $(VENV) .ruff_cache .hypothesis build *.egg-info
