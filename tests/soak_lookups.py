"""Lookups of jobs at all nodes, after the faults of a soak have been cleared."""

import concurrent.futures
import dataclasses
import secrets
import time
from collections.abc import Sequence

import urllib3

from tests.soak_callers import Connections
from tests.soak_threads import CheckedThread
from tests.standins.entry_cluster import EntryProcess

_MAX_TRIES = 5
_TRIES_SECONDS = 14.0
"""The longest that a caller repeats a lookup."""

_UNKNOWN_JOB_CALLERS = 4
"""The number of callers that repeat a lookup of a job that was never submitted, at each node."""

_UNKNOWN_JOB_CALLERS_INTERVAL_SECONDS = 0.25

_SINGLE_TRIES = 20
_SINGLE_TRIES_INTERVAL_SECONDS = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """The responses to one caller that repeated its lookup until it had the wanted status.

    Attributes
    ----------
    statuses
        The HTTP status of each try; 0 for none.
    seconds
        The time from the first try to the last response.
    """

    wanted: int
    statuses: list[int]
    seconds: float

    @property
    def is_answered(self) -> bool:
        """Whether the last try had the wanted status, in time."""
        return self.statuses[-1] == self.wanted and self.seconds <= _TRIES_SECONDS


def look_up(connections: Connections, node: EntryProcess, path: str, wanted: int) -> Lookup:
    """Ask a node for a job's state; repeat this after the delay that each response asks for."""
    began = time.monotonic()
    statuses: list[int] = []
    while True:
        delay_s = 0.0
        try:
            reply = connections.request(node, "GET", path)
            statuses.append(reply.status)
            delay_s = float(reply.headers.get("Retry-After", 0))
        except urllib3.exceptions.HTTPError:
            statuses.append(0)
        seconds = time.monotonic() - began
        is_last = len(statuses) >= _MAX_TRIES or seconds + delay_s > _TRIES_SECONDS
        if statuses[-1] == wanted or is_last:
            return Lookup(wanted, statuses, seconds)
        time.sleep(delay_s)


class NodeLookups(CheckedThread):
    """Asks one node for all accepted jobs, then for jobs that were never submitted.

    Attributes
    ----------
    accepted_violations
        Accepted jobs that the node did not know of.
    unknown_violations
        Jobs that were never submitted and that the node did not call gone.
    refused
        The number of single lookups of such jobs that were answered 503.
    """

    def __init__(self, node: EntryProcess, paths: Sequence[str]) -> None:
        super().__init__()
        self.accepted_violations: list[str] = []
        self.unknown_violations: list[str] = []
        self.refused = 0
        self._node = node
        self._paths = paths
        self._connections = Connections()

    @property
    def report(self) -> str:
        """The share of single lookups of unknown jobs that were answered 503."""
        return f"{self._node.node} {self.refused}/{_SINGLE_TRIES}"

    def work(self) -> None:
        for path in self._paths:
            lookup = look_up(self._connections, self._node, path, 200)
            if not lookup.is_answered:
                self.accepted_violations.append(self._describe(path, lookup))
        for _ in range(_SINGLE_TRIES):
            self.refused += self._connections.try_status(self._node, _unknown_path()) == 503
            time.sleep(_SINGLE_TRIES_INTERVAL_SECONDS)
        self._look_up_unknown_jobs()

    def _look_up_unknown_jobs(self) -> None:
        lookups = []
        with concurrent.futures.ThreadPoolExecutor(_UNKNOWN_JOB_CALLERS) as callers:
            for _ in range(_UNKNOWN_JOB_CALLERS):
                arguments = (Connections(), self._node, _unknown_path(), 410)
                lookups.append(callers.submit(look_up, *arguments))
                time.sleep(_UNKNOWN_JOB_CALLERS_INTERVAL_SECONDS)
        answers = [each.result() for each in lookups]
        unanswered = [each for each in answers if not each.is_answered]
        if unanswered:
            count = f"{len(unanswered)} of {len(answers)} jobs that were never submitted"
            self.unknown_violations.append(self._describe(count, unanswered[0]))

    def _describe(self, what: str, lookup: Lookup) -> str:
        return (
            f"{self._node.node} answered {lookup.statuses} in {lookup.seconds:.1f} s for {what}, "
            f"not {lookup.wanted}"
        )


def _unknown_path() -> str:
    return f"/jobs/{secrets.token_hex(8)}"


def look_up_everywhere(nodes: Sequence[EntryProcess], paths: Sequence[str]) -> list[NodeLookups]:
    """Ask all nodes at the same time, and return what each of them answered."""
    lookups = [NodeLookups(node, paths) for node in nodes]
    for each in lookups:
        each.start()
    for each in lookups:
        each.join()
    return lookups
