"""Keeps a node from proposing the same thing again and again while it waits to take effect."""

from collections.abc import Hashable

from ..clocks import steady_seconds

__all__ = ["RepeatGuard"]

_PRUNE_AT = 10_000


class RepeatGuard:
    """Lets each thing pass once in a while.

    Not once and for all: a full writer may have refused the proposal, and a second one that
    turns out needless is void.

    Parameters
    ----------
    seconds
        How long a thing that passed is held back.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._passed_at: dict[Hashable, float] = {}

    def may_pass(self, thing: Hashable) -> bool:
        """Tell whether a thing may pass now, and note that it did."""
        now = steady_seconds()
        if now - self._passed_at.get(thing, -self._seconds) < self._seconds:
            return False
        if len(self._passed_at) >= _PRUNE_AT:
            horizon = now - self._seconds
            self._passed_at = {t: at for t, at in self._passed_at.items() if at > horizon}
        self._passed_at[thing] = now
        return True

    def forget(self, thing: Hashable) -> None:
        """Let a thing pass again at once."""
        self._passed_at.pop(thing, None)
