PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
KEEP ?= 0
WORKERS ?= 4
ALONE := galenaswitch/platform/tests/test_untrusted_callers.py

.PHONY: setup demo test check bench soak clean

$(VENV)/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(VENV)/ready

setup: $(VENV)/ready

demo: setup
	$(BIN)/python -m standins.demo --keep=$(KEEP)

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 galenaswitch standins bench
	$(BIN)/mypy -p galenaswitch

# Tests of memory run after the others, one at a time.
test: check
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadfile --ignore=$(ALONE)
	$(BIN)/python -m pytest $(ALONE)

bench: setup
	$(BIN)/python -m bench

soak: setup
	$(BIN)/python -m galenaswitch.platform.soak

clean:
	rm -rf $(VENV) .demo
