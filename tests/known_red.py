"""Passes over the tests that KNOWN-RED.txt lists, and prints their lines.

A line there begins with a test's dotted name and a colon. Listed tests run, and whatever comes of
them does not count; every other test counts as always.
"""

import pathlib

from nose2.events import Plugin

_LIST_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_MAX_LISTED_TESTS = 3
"""More known faults than this may not be left for later."""


def read_known_red(path: pathlib.Path = _LIST_PATH) -> dict[str, str]:
    """Give the listed lines by the name of their test.

    Raises
    ------
    ValueError
        If more tests are listed than may be.
    """
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > _MAX_LISTED_TESTS:
        raise ValueError(f"{path.name} lists {len(lines)} tests; {_MAX_LISTED_TESTS} are the most")
    return {line.partition(":")[0].strip(): line for line in lines}


class KnownRed(Plugin):
    """Takes listed tests out of the verdict."""

    alwaysOn = True  # noqa: N815, the name that nose2 reads

    def __init__(self) -> None:
        self._listed = read_known_red()

    def setTestOutcome(self, event) -> None:  # noqa: N802, the hook's name
        """Count a listed test as passed over, whatever came of it."""
        # A subtest's name is followed by what sets it apart.
        line = self._listed.get(event.test.id().partition(" ")[0])
        if line is None:
            return
        event.metadata["known_red"] = event.outcome
        event.outcome = "skipped"
        event.reason = f"known red: {line}"

    def afterSummaryReport(self, event) -> None:  # noqa: N802, the hook's name
        """Print the list."""
        for line in self._listed.values():
            event.stream.writeln(f"known red, passed over: {line}")
