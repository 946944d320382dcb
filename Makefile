# `make demo` and `make test` need nothing but Python 3.11 or newer, and make.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test quick lint unit slowest setup check-model bench clean

# Tests of decisions and codecs: no processes, no waiting, no emulated days, and no long backlogs.
QUICK_TESTS := \
	active_nodes adaptive_timeout authority admission admission_gate decisions declarations explain \
	jobs_failed_runs jobs_lives jobs_long_running jobs_long_running_bounds jobs_long_running_rank \
	jobs_placement.TestAdviceRequests jobs_placement.TestExpiredTickets jobs_preemption \
	jobs_reducer jobs_reservations jobs_starving known_red leader_settings load load_summary load_view logs \
	omitted_ends.TestReducer operations_page orders platform_codecs play_days policies \
	progress_encoding.TestLayout progress_encoding.TestRecordLimit progress_encoding.TestRejectedBatch \
	progress_writer.TestDeletionOrder records reducer room_use router settings shares slow_tests state \
	store_health.TestSilence successors topics turnover
NOSE2 := $(BIN)/nose2 --plugin tests.known_red -s tests -t .

setup: $(VENV)/.done

$(VENV)/.done: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

demo: setup
	$(BIN)/python -m demo.run

test: lint unit

quick: lint
	$(NOSE2) $(QUICK_TESTS:%=tests.test_%)

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
