"""Tracks which nodes are active, from their heartbeats, to choose the owner of each key."""

from collections.abc import Callable, Mapping

from ..clocks import steady_seconds
from ..decisions import ownership
from ..state import Member, MemberState

__all__ = ["ActiveNodes"]


class ActiveNodes:
    """The nodes that can act, as seen by this node.

    Nodes may disagree about the owner of a key for a while; this delays work but is safe, since
    the log decides. The set changes only in `refresh`, after which the caller has to reassign
    everything it owns. If it changed at other times, a key that appears between two changes
    could be left without an owner.

    Parameters
    ----------
    name
        The name of this node.
    silence_timeout_s
        Seconds without a heartbeat after which a peer counts as unresponsive.
    reaches_log
        Returns whether this node reaches the log.
    """

    def __init__(
        self, name: str, silence_timeout_s: float, reaches_log: Callable[[], bool]
    ) -> None:
        self._name = name
        self._silence_timeout_s = silence_timeout_s
        self._reaches_log = reaches_log
        self._last_heartbeats: dict[str, tuple[float, bool]] = {}
        self._active: tuple[str, ...] = ()

    @property
    def active(self) -> tuple[str, ...]:
        """The names of the members that were active at the last `refresh`."""
        return self._active

    def record_heartbeat(self, node: str, reaches_log: bool) -> None:
        """Record the heartbeat of a peer."""
        self._last_heartbeats[node] = (steady_seconds(), reaches_log)

    def refresh(self, members: Mapping[str, Member]) -> bool:
        """Recompute the active members and return whether they changed.

        A member is active if it is responsive, not draining, and reaches the log. If none
        reaches the log, all responsive members are active, since running work still needs
        an owner.
        """
        oldest_allowed = steady_seconds() - self._silence_timeout_s
        alive, with_log = [], []
        for member in members.values():
            last_heartbeat_at, reaches_log = self._last_heartbeats.get(member.name, (0.0, False))
            if member.name == self._name:
                last_heartbeat_at, reaches_log = oldest_allowed + 1, self._reaches_log()
            if member.state == MemberState.LIVE and last_heartbeat_at > oldest_allowed:
                alive.append(member.name)
                if reaches_log:
                    with_log.append(member.name)
        previous, self._active = self._active, tuple(with_log or alive)
        return self._active != previous

    def owns(self, key: str) -> bool:
        """Return whether this node owns a key."""
        return ownership.find_owner(key, self._active) == self._name
