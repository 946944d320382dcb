"""Which minion a request goes to, and which minions are set aside for a while."""

import dataclasses
import random
from collections.abc import Iterable
from typing import Protocol

__all__ = ["MinionHealth", "MinionLike", "choose_minion", "record_result"]

_EXCLUSION_FAILURES = 3
_INITIAL_EXCLUSION_SECONDS = 0.5
_MAX_EXCLUSION_SECONDS = 30.0


class MinionLike(Protocol):
    """What the choice needs to know of a minion."""

    name: str
    hall: str


@dataclasses.dataclass(slots=True)
class MinionHealth:
    """A minion's record: failures in a row, and until when it is set aside."""

    failures: int = 0
    excluded_until: float = 0.0
    is_probing: bool = False


def choose_minion(
    candidates: Iterable[tuple[MinionLike, int, MinionHealth]],
    hall: str,
    session_minion: str,
    now: float,
) -> MinionLike | None:
    """Choose among minions with idle slots.

    The wanted one goes first, if it is there; then near ones, then the ones with most idle
    slots. One that is set aside gets one request at a time after its pause, as a probe.

    Parameters
    ----------
    candidates
        Minions with their idle slots and records.
    hall
        The data hall of this node.
    wanted
        The minion that a session stays with, or nothing.
    now
        The monotonic clock.

    Returns
    -------
    MinionLike or None
        None where there is none to choose.
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
    """Write down how a request to a minion went."""
    health.is_probing = False
    if not failed:
        health.failures = 0
        health.excluded_until = 0.0
        return
    health.failures += 1
    excess = max(0, health.failures - _EXCLUSION_FAILURES)
    pause = min(_INITIAL_EXCLUSION_SECONDS * 2**excess, _MAX_EXCLUSION_SECONDS)
    health.excluded_until = now + pause * random.uniform(0.5, 1.0)
