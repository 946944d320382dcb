"""A nose2 plugin that ignores the outcomes of the tests in KNOWN-RED.txt and prints their lines.

Each line begins with a test's dotted name and a colon. Listed tests run, but count as skipped.
"""

import pathlib

from nose2.events import Plugin

_LIST_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_MAX_LISTED_TESTS = 3
"""The most tests that may be listed at a time, beside those of the uncapped module."""

_UNCAPPED_MODULE = "tests.test_hostile_clients."
"""Tests that check only bounds of memory and descriptors, each of which is listed on its own."""


def read_known_red(path: pathlib.Path = _LIST_PATH) -> dict[str, str]:
    """Read the listed lines by the name of their test.

    Raises
    ------
    ValueError
        If too many tests are listed.
    """
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    capped = [line for line in lines if not line.startswith(_UNCAPPED_MODULE)]
    if len(capped) > _MAX_LISTED_TESTS:
        raise ValueError(
            f"{path.name} lists {len(capped)} tests; at most {_MAX_LISTED_TESTS} may be listed"
        )
    return {line.partition(":")[0].strip(): line for line in lines}


class KnownRed(Plugin):
    """Excludes listed tests from the result of the test run."""

    alwaysOn = True  # noqa: N815, the name that nose2 reads

    def __init__(self) -> None:
        self._listed = read_known_red()

    def setTestOutcome(self, event) -> None:  # noqa: N802, the hook's name
        """Record a listed test as skipped, whatever its outcome."""
        # The id of a subtest has its parameters after a space.
        line = self._listed.get(event.test.id().partition(" ")[0])
        if line is None:
            return
        event.metadata["known_red"] = event.outcome
        event.outcome = "skipped"
        event.reason = f"known red: {line}"

    def afterSummaryReport(self, event) -> None:  # noqa: N802, the hook's name
        """Print the lines of the listed tests."""
        for line in self._listed.values():
            event.stream.writeln(f"known red, passed over: {line}")
