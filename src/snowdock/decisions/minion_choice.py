"""Selection of the minion for a request, with temporary exclusion of failing minions."""

import dataclasses
import random
from collections.abc import Iterable
from typing import Protocol

__all__ = ["MinionHealth", "MinionLike", "choose_minion", "record_result"]

_EXCLUSION_FAILURES = 3
_INITIAL_EXCLUSION_SECONDS = 0.5
_MAX_EXCLUSION_SECONDS = 30.0


class MinionLike(Protocol):
    """The attributes of a minion that the selection reads."""

    name: str
    hall: str


@dataclasses.dataclass(slots=True)
class MinionHealth:
    """Consecutive failures of a minion and the end of its exclusion.

    Attributes
    ----------
    failures
        Consecutive failed requests.
    excluded_until
        Monotonic time in seconds until which the minion gets no requests.
    is_probing
        Whether a probe request to the minion is in flight.
    """

    failures: int = 0
    excluded_until: float = 0.0
    is_probing: bool = False


def choose_minion(
    candidates: Iterable[tuple[MinionLike, int, MinionHealth]],
    hall: str,
    session_minion: str,
    now: float,
) -> MinionLike | None:
    """Return the best minion with idle slots for a request.

    Minions without recent failures are preferred, then those in the node's data hall, then
    those with the most idle slots. After its exclusion a failing minion gets one request at
    a time as a probe.

    Parameters
    ----------
    candidates
        Minions with their number of idle slots and their health.
    hall
        The data hall of this node.
    session_minion
        The only minion that may serve the request's session, or an empty string.
    now
        Monotonic time in seconds.

    Returns
    -------
    MinionLike or None
        None if no candidate is eligible.
    """
    best, best_key = None, None
    for minion, idle, health in candidates:
        if session_minion and minion.name != session_minion:
            continue
        if health.failures >= _EXCLUSION_FAILURES and (
            health.is_probing or health.excluded_until > now
        ):
            continue
        key = (health.failures == 0, minion.hall == hall, idle, random.random())
        if best_key is None or key > best_key:
            best, best_key = minion, key
    return best


def record_result(health: MinionHealth, failed: bool, now: float) -> None:
    """Update a minion's health with the result of a request."""
    health.is_probing = False
    if not failed:
        health.failures = 0
        health.excluded_until = 0.0
        return
    health.failures += 1
    excess = max(0, health.failures - _EXCLUSION_FAILURES)
    exclusion = min(_INITIAL_EXCLUSION_SECONDS * 2**excess, _MAX_EXCLUSION_SECONDS)
    health.excluded_until = now + exclusion * random.uniform(0.5, 1.0)
