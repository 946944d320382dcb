"""Which nodes seem able to act, as heard from their heartbeats."""

from collections.abc import Callable, Mapping

from ..clocks import steady_seconds
from ..decisions import ownership
from ..state import Member, MemberState

__all__ = ["Hints"]


class Hints:
    """Tells which node should act on a thing; wrong hints cost time, never a promise.

    What is told changes only with `refresh`, after which its caller takes over or gives up
    things. If it changed by itself, a thing that came up in between two changes could be
    nobody's for good: a work was once never placed in that way.

    Parameters
    ----------
    name
        This node.
    silence_seconds
        A peer that was silent for so long does not seem alive.
    reaches_log
        Tells whether this node reaches the log itself.
    """

    def __init__(self, name: str, silence_seconds: float, reaches_log: Callable[[], bool]) -> None:
        self._name = name
        self._silence = silence_seconds
        self._reaches_log = reaches_log
        self._heard: dict[str, tuple[float, bool]] = {}
        self._active: tuple[str, ...] = ()

    @property
    def active(self) -> tuple[str, ...]:
        """The members that seemed able to act at the last `refresh`."""
        return self._active

    def hear(self, node: str, reaches_log: bool) -> None:
        """Note a peer's heartbeat."""
        self._heard[node] = (steady_seconds(), reaches_log)

    def refresh(self, members: Mapping[str, Member]) -> bool:
        """Work out anew which members seem able to act; tell whether that changed.

        They are alive, not on their way out, and reach the log. Where none reaches the log,
        all that are alive count: running work still has to be looked after.
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
        """Tell whether this node should act on a thing."""
        return ownership.find_owner(thing, self._active) == self._name
