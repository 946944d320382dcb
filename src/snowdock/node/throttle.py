"""Limits how often a node proposes the same record while it waits for it to take effect."""

from collections.abc import Hashable

from ..clocks import steady_seconds

__all__ = ["ProposalThrottle"]

_PRUNE_THRESHOLD = 10_000


class ProposalThrottle:
    """Allows each key at most once per interval.

    Proposals are repeated because a full writer may have rejected the first one; a redundant
    second one is rejected by the reducer.

    Parameters
    ----------
    interval_s
        Seconds after which a key is allowed again.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._passed_at: dict[Hashable, float] = {}

    def try_pass(self, key: Hashable) -> bool:
        """Return whether a key is allowed now, and if so, start its interval."""
        now = steady_seconds()
        if now - self._passed_at.get(key, -self._interval_s) < self._interval_s:
            return False
        if len(self._passed_at) >= _PRUNE_THRESHOLD:
            oldest_kept = now - self._interval_s
            self._passed_at = {t: at for t, at in self._passed_at.items() if at > oldest_kept}
        self._passed_at[key] = now
        return True

    def forget(self, key: Hashable) -> None:
        """Allow a key again at once."""
        self._passed_at.pop(key, None)
