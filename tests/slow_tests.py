"""A nose2 plugin that prints the slowest tests and the line at which each spends most of its time.

Load it with ``--plugin tests.slow_tests``. Each row has the wall time, the processor time with that
of ended child processes, the test, and the line of its module that was running or waiting in most
samples. Class fixtures and fixtures of modules count as a test of their own.
"""

import collections
import dataclasses
import linecache
import os
import pathlib
import sys
import threading
import time
import types
from collections.abc import Iterable

from nose2.events import Plugin

_LISTED_TESTS = 30
_SAMPLE_PERIOD_S = 0.05
_MIN_FIXTURE_S = 0.05
"""Shorter gaps between two tests are not listed."""
_TESTS = pathlib.Path(__file__).parent


@dataclasses.dataclass
class TestCost:
    """What one test, or the fixtures between two tests, took."""

    name: str
    wall_s: float
    processor_s: float
    samples: collections.Counter[str]


def format_costs(costs: Iterable[TestCost], count: int = _LISTED_TESTS) -> list[str]:
    """Format the rows of the slowest tests, the slowest first."""
    slowest = sorted(costs, key=lambda cost: -cost.wall_s)[:count]
    rows = [f"{'wall s':>7} {'cpu s':>7}  test: line with the most samples"]
    for cost in slowest:
        line = cost.samples.most_common(1)[0][0] if cost.samples else "-"
        rows.append(f"{cost.wall_s:7.1f} {cost.processor_s:7.1f}  {cost.name}: {line}")
    return rows


def _read_processor_time() -> float:
    times = os.times()
    return times.user + times.system + times.children_user + times.children_system


def _find_test_line(frame: types.FrameType | None) -> str | None:
    """Return the innermost line of a stack that is in a test module."""
    while frame is not None:
        path = pathlib.Path(frame.f_code.co_filename)
        if path.parent == _TESTS and path.name.startswith("test_"):
            text = linecache.getline(str(path), frame.f_lineno).strip()
            return f"{path.name}:{frame.f_lineno} `{text}`"
        frame = frame.f_back
    return None


class SlowTests(Plugin):
    """Measures each test, and samples the stack of the main thread meanwhile."""

    alwaysOn = True  # noqa: N815, the name that nose2 reads

    def __init__(self) -> None:
        self._costs: list[TestCost] = []
        self._samples: collections.Counter[str] = collections.Counter()
        self._begin_span()
        self._sampler = threading.Thread(target=self._take_samples, daemon=True)
        self._is_over = threading.Event()

    def startTestRun(self, event) -> None:  # noqa: N802, the hook's name
        """Start sampling."""
        self._begin_span()
        self._sampler.start()

    def startTest(self, event) -> None:  # noqa: N802, the hook's name
        """Account for the fixtures that ran since the last test."""
        self._end_span(f"fixtures before {event.test.id()}", _MIN_FIXTURE_S)

    def stopTest(self, event) -> None:  # noqa: N802, the hook's name
        """Account for the test with its setUp and tearDown."""
        self._end_span(event.test.id())

    def afterSummaryReport(self, event) -> None:  # noqa: N802, the hook's name
        """Print the slowest tests."""
        self._end_span("fixtures after the last test", _MIN_FIXTURE_S)
        self._is_over.set()
        self._sampler.join()
        for row in format_costs(self._costs):
            event.stream.writeln(row)

    def _begin_span(self) -> None:
        self._samples = collections.Counter()
        self._wall, self._processor = time.perf_counter(), _read_processor_time()

    def _end_span(self, name: str, min_wall_s: float = 0.0) -> None:
        wall_s = time.perf_counter() - self._wall
        if wall_s >= min_wall_s:
            processor_s = _read_processor_time() - self._processor
            self._costs.append(TestCost(name, wall_s, processor_s, self._samples))
        self._begin_span()

    def _take_samples(self) -> None:
        main = threading.main_thread().ident
        while not self._is_over.wait(_SAMPLE_PERIOD_S):
            line = _find_test_line(sys._current_frames().get(main))
            if line is not None:
                self._samples[line] += 1
