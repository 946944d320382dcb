# `make demo` and `make test` need nothing but Python 3.11 or newer, and make.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint unit slowest setup check-model bench clean

NOSE2 := $(BIN)/nose2 --plugin tests.known_red -s tests -t .

setup: $(VENV)/.done

$(VENV)/.done: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

demo: setup
	$(BIN)/python -m demo.run

test: lint unit

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

unit: setup
	$(NOSE2) --verbose

slowest: setup
	$(NOSE2) --verbose --plugin tests.slow_tests

check-model: setup
	$(BIN)/python -m specs.check

bench: setup
	$(BIN)/python -m bench.decisions
	$(BIN)/python -m bench.packing
	$(BIN)/python -m bench.log_bytes
	$(BIN)/python -m bench.slopes
	$(BIN)/python -m bench.end_to_end
	$(BIN)/python -m bench.overload

clean:
	rm -rf $(VENV) build *.egg-info src/*.egg-info
