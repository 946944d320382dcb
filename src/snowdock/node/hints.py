"""Tracks which nodes are active, from their heartbeats, to choose the owner of each key."""

from collections.abc import Callable, Mapping

from ..clocks import steady_seconds
from ..decisions import ownership
from ..state import Member, MemberState

__all__ = ["Hints"]


class Hints:
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

    def __init__(self, name: str, silence_seconds: float, reaches_log: Callable[[], bool]) -> None:
        self._name = name
        self._silence = silence_seconds
        self._reaches_log = reaches_log
        self._heard: dict[str, tuple[float, bool]] = {}
        self._active: tuple[str, ...] = ()

    @property
    def active(self) -> tuple[str, ...]:
        """The names of the members that were active at the last `refresh`."""
        return self._active

    def hear(self, node: str, reaches_log: bool) -> None:
        """Record the heartbeat of a peer."""
        self._heard[node] = (steady_seconds(), reaches_log)

    def refresh(self, members: Mapping[str, Member]) -> bool:
        """Recompute the active members and return whether they changed.

        A member is active if it is responsive, not draining, and reaches the log. If none
        reaches the log, all responsive members are active, since running work still needs
        an owner.
        """
        horizon = steady_seconds() - self._silence
        alive, able = [], []
        for member in members.values():
            heard, reaches_log = self._heard.get(member.name, (0.0, False))
            if member.name == self._name:
                heard, reaches_log = horizon + 1, self._reaches_log()
            if member.state == MemberState.LIVE and heard > horizon:
                alive.append(member.name)
                if reaches_log:
                    able.append(member.name)
        before, self._active = self._active, tuple(able or alive)
        return self._active != before

    def is_own(self, thing: str) -> bool:
        """Return whether this node owns a key."""
        return ownership.find_owner(thing, self._active) == self._name
