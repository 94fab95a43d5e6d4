PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := sapphireway-transport sapphireway-protocol sapphireway-state \
	sapphireway-coordination sapphireway sapphirectl

.PHONY: setup demo test lint format bench soak

setup: $(VENV)/.ready

$(VENV)/.ready: requirements/constraints.txt requirements/tools.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c requirements/constraints.txt -r requirements/tools.txt
	$(BIN)/pip install -q --no-build-isolation -c requirements/constraints.txt \
		$(foreach package,$(PACKAGES),-e packages/$(package))
	touch $@

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python -m demo

# For example: make soak FIRST=1 COUNT=50 SECONDS=20 PLACES=4
soak: setup
	$(BIN)/python -m tests.soak --first $(or $(FIRST),1) --count $(or $(COUNT),1) \
		--seconds $(or $(SECONDS),20) --places $(or $(PLACES),4)

bench: setup
	$(BIN)/python -m benchmarks
