"""Keeps a node from proposing the same thing again and again while it waits to take effect."""

from collections.abc import Hashable

from ..clocks import steady_seconds

__all__ = ["ProposalThrottle"]

_PRUNE_THRESHOLD = 10_000


class ProposalThrottle:
    """Lets each thing pass once in a while.

    Not once and for all: a full writer may have refused the proposal, and a second one that
    turns out needless is void.

    Parameters
    ----------
    seconds
        How long a thing that passed is held back.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._passed_at: dict[Hashable, float] = {}

    def try_pass(self, key: Hashable) -> bool:
        """Tell whether a thing may pass now, and note that it did."""
        now = steady_seconds()
        if now - self._passed_at.get(key, -self._interval_s) < self._interval_s:
            return False
        if len(self._passed_at) >= _PRUNE_THRESHOLD:
            oldest_kept = now - self._interval_s
            self._passed_at = {t: at for t, at in self._passed_at.items() if at > oldest_kept}
        self._passed_at[key] = now
        return True

    def forget(self, key: Hashable) -> None:
        """Let a thing pass again at once."""
        self._passed_at.pop(key, None)
