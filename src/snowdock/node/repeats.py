"""Limits how often a node proposes the same record while it waits for it to take effect."""

from collections.abc import Hashable

from ..clocks import steady_seconds

__all__ = ["RepeatGuard"]

_PRUNE_AT = 10_000


class RepeatGuard:
    """Allows each key at most once per interval.

    Proposals are repeated because a full writer may have rejected the first one; a redundant
    second one is rejected by the reducer.

    Parameters
    ----------
    interval_s
        Seconds after which a key is allowed again.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._passed_at: dict[Hashable, float] = {}

    def may_pass(self, thing: Hashable) -> bool:
        """Return whether a key is allowed now, and if so, start its interval."""
        now = steady_seconds()
        if now - self._passed_at.get(thing, -self._seconds) < self._seconds:
            return False
        if len(self._passed_at) >= _PRUNE_AT:
            horizon = now - self._seconds
            self._passed_at = {t: at for t, at in self._passed_at.items() if at > horizon}
        self._passed_at[thing] = now
        return True

    def forget(self, thing: Hashable) -> None:
        """Allow a key again at once."""
        self._passed_at.pop(thing, None)
